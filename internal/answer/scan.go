package answer

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the highest status that an answer may have.
	maxStatus = 599
	// maxQuotedBytes is the length to which an error cuts the line that it quotes.
	maxQuotedBytes = 64
)

// ErrStatus is the error of a read that comes upon an answer with a status outside 100 to 599, or
// with status 101, which no request asks for.
var ErrStatus = eris.New("answer is not sound: status")

// part is a part of an answer.
type part int

const (
	partStatusLine part = iota
	partFields
	// partBody is a body with a length.
	partBody
	// partRest is a body that ends with the connection, or what net/http rejects.
	partRest
	partChunkSize
	partChunk
	partChunkEnd
	partTrailer
)

// scanner reads the answers on a connection ahead of net/http and finds the first line that is
// not sound. It leaves to net/http what that rejects itself, and finds the ends of all other
// bodies where net/http does.
type scanner struct {
	// part is what the next bytes belong to.
	part part
	// line is the start of a line whose end has not arrived.
	line []byte
	// left is the number of bytes that are left of a body or chunk.
	left uint64
	head head
}

// head is what the head of an answer states about its body.
type head struct {
	isHTTP10  bool
	status    int
	isChunked bool
	hasLength bool
	length    uint64
}

// scan reads the next bytes of a connection. With an error it returns how many bytes precede
// the end of the line that is not sound. The start of that line counts, because net/http may
// send a request again if it gets no byte of its answer. The parameter isHead says that the
// request has the method HEAD.
func (s *scanner) scan(p []byte, isHead bool) (int, error) {
	n := 0
	for n < len(p) {
		switch s.part {
		case partRest:
			return len(p), nil
		case partBody, partChunk:
			n += s.skip(len(p) - n)
			continue
		default:
		}
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.line = append(s.line, p[n:]...)
			return len(p), nil
		}
		line := p[n : n+end]
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = nil
		}
		n += end
		if err := s.scanLine(bytes.TrimSuffix(line, []byte("\r")), isHead); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// skip passes over the bytes of a body, at most the given number, and returns how many.
func (s *scanner) skip(most int) int {
	skipped := min(s.left, uint64(most))
	s.left -= skipped
	switch {
	case s.left > 0:
	case s.part == partChunk:
		s.part = partChunkEnd
	default:
		s.part = partStatusLine
	}
	return int(skipped)
}

// scanLine reads a line without its end.
func (s *scanner) scanLine(line []byte, isHead bool) error {
	switch s.part {
	case partStatusLine:
		return s.scanStatusLine(line)
	case partFields:
		if len(line) > 0 {
			return s.scanField(line)
		}
		s.beginBody(isHead)
	case partChunkSize:
		s.beginChunk(line)
	case partChunkEnd:
		s.part = partChunkSize
	default: // the trailer
		if len(line) > 0 {
			_, _, err := splitField(line)
			return err
		}
		s.part = partStatusLine
	}
	return nil
}

// scanStatusLine reads the protocol version and the status of an answer.
func (s *scanner) scanStatusLine(line []byte) error {
	if len(line) == 0 {
		// net/http gets the first byte of an answer, and rejects it.
		s.part = partRest
		return nil
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isHTTP1 || len(minor) != 1 {
		return unsound("status line of another protocol", line)
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	code, err := strconv.Atoi(string(status))
	if err != nil {
		return unsound("status line without a status", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return unsound("control byte in the status line", line)
	}
	if code < http.StatusContinue || code > maxStatus || code == http.StatusSwitchingProtocols {
		return ErrStatus
	}
	s.head = head{isHTTP10: minor[0] == '0', status: code}
	s.part = partFields
	return nil
}

// scanField reads a field of the head.
func (s *scanner) scanField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.head.length, err = strconv.ParseUint(string(value), 10, 63)
		s.head.hasLength = err == nil
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if s.head.isHTTP10 {
			return unsound("transfer encoding in HTTP/1.0", line)
		}
		s.head.isChunked = true
	}
	return nil
}

// splitField returns the name and the value of a field.
func splitField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, unsound("field continued on another line", line)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	isToken := !bytes.ContainsFunc(name, func(r rune) bool { return !httpguts.IsTokenRune(r) })
	if !found || len(name) == 0 || !isToken {
		return nil, nil, unsound("field without a valid name", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// beginBody determines what follows the head.
func (s *scanner) beginBody(isHead bool) {
	isInterim := s.head.status < http.StatusOK
	switch {
	case isInterim, isHead, s.head.status == http.StatusNoContent, s.head.status == http.StatusNotModified:
		s.part = partStatusLine
	case s.head.isChunked:
		s.part = partChunkSize
	case !s.head.hasLength:
		s.part = partRest
	case s.head.length == 0:
		s.part = partStatusLine
	default:
		s.part, s.left = partBody, s.head.length
	}
}

// beginChunk reads the line in front of a chunk.
func (s *scanner) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 64)
	switch {
	case err != nil:
		s.part = partRest
	case length == 0:
		s.part = partTrailer
	default:
		s.part, s.left = partChunk, length
	}
}

// unsound returns the error for a line, which it quotes up to 64 bytes.
func unsound(what string, line []byte) error {
	return eris.Errorf("answer is not sound: %s: %q", what, line[:min(len(line), maxQuotedBytes)])
}
