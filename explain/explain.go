// Package explain parses the log lines of requests and write-offs and reports the cause
// of each outcome: for one request by its id, or for all of them grouped by cause. It
// reads log files only, so it needs no running process.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// RequestEntry is one request, parsed from its log line.
type RequestEntry struct {
	// Line is the whole line, including the prefixes of the logger and log collectors.
	Line string
	// At is the time of the log line; zero if the line has none.
	At        time.Time
	ID        string
	Route     string
	Workspace string
	Outcome   string
	// Cause is why the budget did not admit the request; empty for other outcomes.
	Cause     string
	Status    int
	Upstreams []string // in the order in which the request was sent to them
	// Repeats says why the request was sent once more, each as relay.Repeat writes it.
	Repeats []string
	// Expected is the time from the last send to the first byte that routing predicted.
	Expected time.Duration
	// FirstByte is the time from arrival to the first byte of the response, Total that to
	// its end.
	FirstByte, Total   time.Duration
	Reserved, Consumed int64 // tokens
	Detail             string
}

// requestPrefix starts the text that the process wrote to a request's log line.
const requestPrefix = "step=request "

// maxLineBytes is the length of the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// ParseRequest parses a log line and reports whether it is a request's.
func ParseRequest(line string) (RequestEntry, bool) {
	_, text, found := strings.Cut(line, requestPrefix)
	if !found {
		return RequestEntry{}, false
	}
	r := RequestEntry{Line: line, At: lineTime(line)}
	fields := parseFields(text)
	r.ID, r.Route, r.Workspace = fields["id"], fields["route"], fields["workspace"]
	r.Outcome, r.Cause, r.Detail = fields["outcome"], fields["cause"], fields["detail"]
	r.Status = int(parseInt(fields["status"]))
	r.Upstreams = strings.Fields(strings.Trim(fields["upstreams"], "[]"))
	r.Repeats = strings.Fields(strings.Trim(fields["repeats"], "[]"))
	r.Expected, r.FirstByte, r.Total = parseMillis(fields["expected_ms"]), parseMillis(fields["first_ms"]), parseMillis(fields["total_ms"])
	r.Reserved, r.Consumed = parseInt(fields["ceiling"]), parseInt(fields["consumed"])
	return r, r.ID != "" || r.Outcome != ""
}

// parseFields splits text into key=value fields. A value in brackets or quotes ends at the
// closing one, any other value at a space.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimSpace(text) {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			break
		}
		value, remaining := nextValue(rest)
		fields[key], text = value, remaining
	}
	return fields
}

func nextValue(rest string) (value, remaining string) {
	if strings.HasPrefix(rest, "[") {
		if end := strings.Index(rest, "]"); end >= 0 {
			return rest[:end+1], rest[end+1:]
		}
	}
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, err := strconv.Unquote(quoted)
		if err == nil {
			return value, rest[len(quoted):]
		}
	}
	value, remaining, _ = strings.Cut(rest, " ")
	return value, remaining
}

// parseInt parses an integer; a missing or malformed field counts as 0.
func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func parseMillis(text string) time.Duration { return time.Duration(parseInt(text)) * time.Millisecond }

// timestampPattern matches the timestamp of klog: month, day and time of day.
var timestampPattern = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) `)

// lineTime returns the time of a log line. The timestamp has no year, so the time is in
// year 0.
func lineTime(line string) time.Time {
	found := timestampPattern.FindStringSubmatch(line)
	if found == nil {
		return time.Time{}
	}
	at, err := time.Parse("0102 15:04:05.000000", found[1])
	if err != nil {
		return time.Time{} // digits that are not a valid time
	}
	return at
}

// Visitor holds the functions that Read calls for each kind of record. Nil functions are
// skipped.
type Visitor struct {
	OnRequest  func(RequestEntry)
	OnWriteOff func(WriteOffEntry)
}

// Read calls v for each log line of a request or of a write-off.
func Read(log io.Reader, v Visitor) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		v.visitLine(lines.Text())
	}
	return eris.Wrap(lines.Err(), "read log")
}

func (v Visitor) visitLine(line string) {
	if v.OnRequest != nil {
		if r, found := ParseRequest(line); found {
			v.OnRequest(r)
			return
		}
	}
	if v.OnWriteOff != nil {
		if e, found := ParseWriteOff(line); found {
			v.OnWriteOff(e)
		}
	}
}
