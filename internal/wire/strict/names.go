package strict

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// maxListedNames is the number of names of one object that are compared one by one.
const maxListedNames = 64

// scope is an object or an array that has not ended. first is the index of the first of its names; seen holds them
// once there are more than maxListedNames.
type scope struct {
	first int
	seen  map[string]bool
}

// FindRepeatedName returns a name that an object in a valid JSON text has twice, if there is one. The case of
// names is ignored, as by encoding/json.
func FindRepeatedName(text []byte) (name string, isRepeated bool) {
	var scopes []scope
	var names [][]byte
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			scopes = append(scopes, scope{first: len(names)})
		case '}', ']':
			names = names[:scopes[len(scopes)-1].first]
			scopes = scopes[:len(scopes)-1]
		case '"':
			end := endOfString(text, i)
			if followsColon(text, end) {
				next := unquoteName(text[i : end+1])
				object := &scopes[len(scopes)-1]
				if object.contains(names, next) {
					return string(next), true
				}
				names = append(names, next)
			}
			i = end
		}
	}
	return "", false
}

// endOfString returns the index of the quote that ends the string which begins at the index.
func endOfString(text []byte, begin int) int {
	end := begin + 1
	for text[end] != '"' {
		if text[end] == '\\' {
			end++
		}
		end++
	}
	return end
}

// followsColon reports whether the string that ends at the index is a name.
func followsColon(text []byte, end int) bool {
	rest := bytes.TrimLeft(text[end+1:], " \t\r\n")
	return len(rest) > 0 && rest[0] == ':'
}

// unquoteName returns the content of a quoted name.
func unquoteName(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var name string
	// The text has been decoded before.
	_ = json.Unmarshal(quoted, &name)
	return []byte(name)
}

// contains reports whether the object has the name already, and adds it to those that it has seen.
func (s *scope) contains(names [][]byte, name []byte) bool {
	own := names[s.first:]
	if len(own) < maxListedNames {
		return slices.ContainsFunc(own, func(other []byte) bool { return bytes.EqualFold(other, name) })
	}
	if s.seen == nil {
		s.seen = make(map[string]bool, 2*maxListedNames)
		for _, other := range own {
			s.seen[foldName(other)] = true
		}
	}
	folded := foldName(name)
	isKnown := s.seen[folded]
	s.seen[folded] = true
	return isKnown
}

func foldName(name []byte) string { return strings.ToLower(strings.ToUpper(string(name))) }
