// Package explainer tells the story of one request from the log lines of all
// entries, and its cause in one line. It says where lines are missing.
package explainer

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest log line that is read, in bytes.
const maxLineBytes = 1 << 20

// ErrNoLines says that no line names the request.
var ErrNoLines = errors.New("no line names this request: it never reached an entry whose log is here, or lines were dropped (look for event=log_lines_dropped)")

// logLine is one log line as key=value pairs.
type logLine struct {
	timestamp time.Time
	fields    map[string]string
	text      string
}

// Explanation is what the logs say of a request.
type Explanation struct {
	// Lines are those that name the request, oldest first; of one that is quarantined also
	// those that say why.
	Lines []string
	// Cause is why the request ended as it did, in one line.
	Cause string
	// MissingLines says which lines would be expected and are not there.
	MissingLines []string
}

// Explain reads logs and tells a request's story. Lines may have a prefix
// before time=, as collectors add one.
func Explain(logs io.Reader, request string) (Explanation, error) {
	var requestLines []logLine
	quarantineLines := map[string][]logLine{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if line, ok := parseQuarantineLine(text); ok {
			fingerprint := line.fields["content"]
			quarantineLines[fingerprint] = append(quarantineLines[fingerprint], line)
		}
		if !strings.Contains(text, "request="+request) {
			continue
		}
		if line, ok := parseLine(text); ok && line.fields["request"] == request {
			requestLines = append(requestLines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return Explanation{}, fmt.Errorf("read logs: %w", err)
	}
	if len(requestLines) == 0 {
		return Explanation{}, ErrNoLines
	}
	byTime := func(a, b logLine) int { return cmp.Compare(a.timestamp.UnixNano(), b.timestamp.UnixNano()) }
	slices.SortStableFunc(requestLines, byTime)
	explanation := Explanation{Cause: describeCause(requestLines), MissingLines: missingLines(requestLines)}
	if last := requestLines[len(requestLines)-1].fields; last["outcome"] == outcomeQuarantined {
		requestLines = append(requestLines, quarantineLines[last["content"]]...)
		slices.SortStableFunc(requestLines, byTime)
	}
	for _, line := range requestLines {
		explanation.Lines = append(explanation.Lines, line.text)
	}
	return explanation, nil
}

// outcomeQuarantined is that of requests whose content ends upstreams.
const outcomeQuarantined = "quarantined"

// parseQuarantineLine reads a line that says of a content that it has ended an upstream, or is refused.
func parseQuarantineLine(text string) (logLine, bool) {
	if !strings.Contains(text, "event=upstream_ended") && !strings.Contains(text, "event=quarantined") {
		return logLine{}, false
	}
	return parseLine(text)
}

// parseLine reads one logfmt line.
func parseLine(text string) (logLine, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return logLine{}, false
	}
	line := logLine{fields: map[string]string{}, text: text[begin:]}
	rest := line.text
	for rest != "" {
		name, value, after, ok := cutPair(rest)
		if !ok {
			return logLine{}, false
		}
		line.fields[name] = value
		rest = after
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.fields["time"])
	if err != nil {
		return logLine{}, false
	}
	line.timestamp = timestamp
	return line, true
}

// cutPair cuts the first key=value pair off a line.
func cutPair(text string) (name, value, rest string, ok bool) {
	name, remaining, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(remaining, `"`) {
		value, rest, _ = strings.Cut(remaining, " ")
		return name, value, rest, true
	}
	end := 1
	for end < len(remaining) && remaining[end] != '"' {
		if remaining[end] == '\\' {
			end++
		}
		end++
	}
	if end >= len(remaining) {
		return "", "", "", false
	}
	return name, strings.ReplaceAll(remaining[1:end], `\"`, `"`), strings.TrimLeft(remaining[end+1:], " "), true
}

// causesByOutcome says what each outcome of a request means.
var causesByOutcome = map[string]string{
	"answered":                  "answered by an upstream",
	"no_configuration":          "refused, not run: the entry had not learned a configuration yet; look for store_lost after its start",
	"no_route":                  "refused: no route of this configuration has the host and path",
	"configuration_unconfirmed": "refused: the entry does not know the route or key, and could not confirm its configuration lately; another may",
	"unknown_key":               "refused: the key is no organisation's in this configuration",
	"header_too_large":          "refused: the header is over the configuration's limit",
	"body_too_large":            "refused: the body is over the configuration's limit",
	"body_not_read":             "refused, not run: the caller did not send its whole body in time",
	"stopping":                  "refused, not run: the entry was told to stop, and the answer might have lasted longer than it; retry_after_ms says when another serves it",
	"no_upstream":               "refused, not run: the list had no upstream of the service that could be used",
	"no_memory":                 "refused, not run: no engines together had the memory for this prompt",
	outcomeQuarantined:          "refused, not run: upstreams ended one after the other under what it asks for; see event=upstream_ended of its content",
	"upstreams_pause":           "refused, not run: every upstream that is left wants no requests from this entry for a time; see event=upstream_pauses",
	"overloaded":                "refused, not run: the first event would have come after the caller had left",
	"too_costly":                "refused, not run: it would have cost requests in progress more than it was worth",
	"refused_by_upstream":       "refused, not run: every upstream that was asked stated that it did not run it",
	"upstream_unreachable":      "refused, not run: no connection to an upstream was had",
	"upstream_failed":           "failed: an upstream broke off or answered with a failure, and no other could be asked",
	"deadline":                  "failed: the route's or the caller's time was over before an upstream answered",
	"caller_left":               "ended: the caller closed its connection",
	"cut_off":                   "failed: the entry was told to stop, and ended before the answer did",
	"stream_broken":             "failed: the stream broke after it had begun and could not go on elsewhere",
	"internal_error":            "failed: a fault of the entry; look for event=panic",
}

// describeCause puts the end of a request and what led to it into one line.
func describeCause(requestLines []logLine) string {
	cause := "still in progress, or its end was not logged"
	for _, line := range requestLines {
		if line.fields["event"] != "request" {
			continue
		}
		cause = causesByOutcome[line.fields["outcome"]]
		if cause == "" {
			cause = "ended as " + line.fields["outcome"]
		}
		if reason := line.fields["error"]; reason != "" {
			cause += " (" + reason + ")"
		}
		cause += fmt.Sprintf("; status %s after %s ms, configuration revision %s", line.fields["status"], line.fields["took_ms"], line.fields["config_revision"])
	}
	for _, line := range requestLines {
		if line.fields["event"] == "attempt" {
			cause += fmt.Sprintf("; at %s: %s (%s)", line.fields["upstream"], line.fields["verdict"], line.fields["error"])
		}
	}
	return cause
}

// missingLines compares what the end of a request says with the lines before it.
func missingLines(requestLines []logLine) []string {
	count := map[string]int{}
	attempts := ""
	for _, line := range requestLines {
		count[line.fields["event"]]++
		if line.fields["event"] == "request" {
			attempts = line.fields["attempts"]
		}
	}
	var missing []string
	if count["request"] == 0 {
		missing = append(missing, "event=request: the entry ended before the request did, or the line was dropped")
	}
	if attempts != "" && attempts != "0" && count["place"] == 0 {
		missing = append(missing, "event=place: "+attempts+" attempts were made and none is here")
	}
	return missing
}
