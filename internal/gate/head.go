package gate

// strayBytes is the length of the empty line that some clients send behind a body.
const strayBytes = 2

// headScan counts what arrives of the head of a request.
type headScan struct {
	// bytes is the length of what has arrived, and lines the number of line ends in the head.
	bytes, lines int
	// rest is the number of bytes behind the head.
	rest int
	// hasText is set by the first byte that is not part of an empty line, isLineEmpty while
	// nothing of a line has arrived, and hasEnded at the end of the head.
	hasText, isLineEmpty, hasEnded bool
}

// add counts a part of the head. It returns the number of line ends in it.
func (s *headScan) add(part []byte) int {
	before := s.lines
	s.bytes += len(part)
	for i, b := range part {
		if s.hasEnded {
			s.rest += len(part) - i
			break
		}
		switch b {
		case '\n':
			s.lines++
			s.hasEnded = s.hasText && s.isLineEmpty
			s.isLineEmpty = true
		case '\r':
		default:
			s.hasText, s.isLineEmpty = true, false
		}
	}
	return s.lines - before
}

// isFollowed reports whether more than a body of the given length arrived behind the head. The
// length is negative if it is not known.
func (s *headScan) isFollowed(bodyBytes int64) bool {
	return bodyBytes >= 0 && int64(s.rest) > bodyBytes+strayBytes
}
