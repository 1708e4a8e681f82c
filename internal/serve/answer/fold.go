package answer

// statusOffset is the number of bytes before the status in the first line of a head.
const statusOffset = len("HTTP/1.1 ")

// foldScanner finds folded lines in the heads that begin an answer. net/http joins such a line, which begins with
// whitespace, with the one before (RFC 9112, section 5.2), so that a parsed head doesn't show it.
type foldScanner struct {
	// line is the number of the current line, column the number of its bytes so far.
	line, column int
	// isInformational is set once the status shows that another head follows.
	isInformational bool
	// isDone is set after the last head.
	isDone bool
}

// scan reads the next bytes of an answer and reports whether there is a folded line among them.
func (s *foldScanner) scan(text []byte) bool {
	for _, char := range text {
		if s.isDone {
			return false
		}
		switch {
		case char == '\n':
			s.endLine()
			continue
		case char == '\r':
			continue
		case s.line > 0 && s.column == 0 && (char == ' ' || char == '\t'):
			return true
		case s.line == 0 && s.column == 0 && char != 'H':
			// No head. Over TLS, the text is encrypted.
			s.isDone = true
		case s.line == 0 && s.column == statusOffset && char == ' ':
			// net/http accepts more than one space before the status.
			continue
		case s.line == 0 && s.column == statusOffset:
			s.isInformational = char == '1'
		}
		s.column++
	}
	return false
}

// endLine ends the current line. An empty one ends the head.
func (s *foldScanner) endLine() {
	switch {
	case s.column > 0:
		s.line++
		s.column = 0
	case s.isInformational:
		*s = foldScanner{}
	default:
		s.isDone = true
	}
}
