package connlimit

import "bytes"

// headScanner measures the head of a request and finds its end.
type headScanner struct {
	bytes, lines int
	// line is the length of the unfinished line, first its first byte.
	line  int
	first byte
	ended bool
}

// scan takes the next bytes of the connection, up to the end of the head.
func (s *headScanner) scan(b []byte) {
	for len(b) > 0 && !s.ended {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.extend(b)
			return
		}
		s.extend(b[:end])
		s.bytes++
		if empty := s.line == 0 || s.line == 1 && s.first == '\r'; !empty {
			s.lines++
		} else {
			s.ended = s.lines > 0 // an empty line before the request line does not end the head
		}
		s.line = 0
		b = b[end+1:]
	}
}

func (s *headScanner) extend(b []byte) {
	if s.line == 0 && len(b) > 0 {
		s.first = b[0]
	}
	s.line += len(b)
	s.bytes += len(b)
}

// excess returns what the head costs beyond an ordinary one, in bytes.
func (s *headScanner) excess() int64 {
	return max(0, int64(s.lines-ordinaryLines)*lineCost) + max(0, int64(s.bytes-ordinaryBytes)*byteCost)
}
