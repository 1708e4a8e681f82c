package limit

import (
	"io"

	"github.com/go-faster/errors"
)

// The first buffer of Share.ReadAll for a source of unknown length, and of known length.
const (
	minBufferBytes   = 512
	firstBufferBytes = 4 << 10
)

// ReadAll reads the source to its end like the function of this name. It takes each buffer from the
// share before it is allocated, and fails with an *ExhaustedError if that is not possible. length is
// the length that the source claims to have, or negative; a caller that claims much and sends
// nothing holds a small buffer only.
func (s *Share) ReadAll(source io.Reader, length, bytes int64) ([]byte, error) {
	if length > bytes {
		return nil, &ExceededError{bytes}
	}
	size := int64(minBufferBytes)
	if length >= 0 {
		size = min(length+1, firstBufferBytes)
	}
	if err := s.Take(size); err != nil {
		return nil, err
	}
	source = NewReader(source, bytes)
	content := make([]byte, 0, size)
	for {
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		case len(content) < cap(content):
			continue
		}
		if content, err = s.grow(content, length); err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of the content with more capacity, which is the length and a byte for its end
// if that is less than twice the capacity.
func (s *Share) grow(content []byte, length int64) ([]byte, error) {
	old := int64(cap(content))
	size := max(2*old, minBufferBytes)
	if length >= old {
		size = min(size, length+1)
	}
	if err := s.Take(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	s.Give(old)
	return grown, nil
}
