package settings

import "fmt"

// Limits of a text, which may come from any holder of a token.
const (
	// maxDepth limits the nesting of objects and lists. The parser is recursive,
	// and a stack overflow terminates the process.
	maxDepth = 100
	// maxValues limits the number of values and keys. Each takes a few hundred
	// bytes after parsing, many times the size of its text. 6,100 workspaces have
	// about 100,000.
	maxValues = 1_000_000
)

// exceededLimit returns the limit that data exceeds and the offset where it does, or
// offset -1. It skips strings and comments. The parser reports text that is not JSON.
func exceededLimit(data []byte) (offset int, limit string) {
	depth, values := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		case '[', '{':
			depth++
			values++
		case ',', ':':
			values++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i, fmt.Sprintf("nested deeper than %d", maxDepth)
		}
		if values > maxValues {
			return i, fmt.Sprintf("more than %d keys and values", maxValues)
		}
	}
	return -1, ""
}

// endOfString returns the offset of the closing quote of the string that starts at i.
func endOfString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment that starts at i, or
// i if there is none.
func endOfComment(data []byte, i int) int {
	if i+1 >= len(data) {
		return i
	}
	switch data[i+1] {
	case '/':
		for i < len(data) && data[i] != '\n' {
			i++
		}
	case '*':
		for i += 3; i < len(data) && (data[i-1] != '*' || data[i] != '/'); i++ {
		}
	}
	return i
}
