// Package explainer finds the log lines of one request in the logs of all entries, and derives from them why the
// request ended as it did. It reports log lines that are missing.
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

// maxLineBytes bounds the length of a log line. Explain fails on longer lines.
const maxLineBytes = 1 << 20

// ErrNoLines is returned by Explain if no log line has the ID of the request.
var ErrNoLines = errors.New("no log line has this request id: the request reached none of the entries whose logs were read, or lines were dropped (look for event=log_lines_dropped)")

// logLine is a parsed log line in logfmt.
type logLine struct {
	timestamp time.Time
	// fields maps keys to unquoted values.
	fields map[string]string
	// text is the line from time= on, without the prefix of a log collector.
	text string
}

// Explanation describes one request by its log lines.
type Explanation struct {
	// Lines are the log lines of the request, oldest first. For a request that was refused as quarantined they
	// include the lines of other requests with the same fingerprint that led to the quarantine.
	Lines []string
	// Cause is one line of text: what the request's outcome means, its HTTP status and duration, the revision of
	// the configuration, and each attempt that failed.
	Cause string
	// MissingLines describes each log line that the request should have but that was not found.
	MissingLines []string
}

// Explain reads the log lines of all entries, in any order, and explains the request with the given ID. Lines that
// can't be parsed are skipped. Lines may have a prefix before time=, as log collectors add one. Explain returns
// ErrNoLines if no line has the ID.
func Explain(logs io.Reader, requestID string) (Explanation, error) {
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
		if !strings.Contains(text, "request="+requestID) {
			continue
		}
		if line, ok := parseLine(text); ok && line.fields["request"] == requestID {
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

// outcomeQuarantined is the outcome of requests that are refused because requests with the same fingerprint
// crashed upstreams.
const outcomeQuarantined = "quarantined"

// parseQuarantineLine parses a line about a fingerprint that was quarantined, or whose request an upstream was
// running when it crashed. It returns false for all other lines.
func parseQuarantineLine(text string) (logLine, bool) {
	if !strings.Contains(text, "event=upstream_ended") && !strings.Contains(text, "event=quarantined") {
		return logLine{}, false
	}
	return parseLine(text)
}

// parseLine parses a logfmt line, from time= on. It returns false if the line is malformed or has no valid time.
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

// cutPair splits the first key=value pair from a logfmt line and unquotes the value. It returns false if the text
// has no "=" or an unterminated quote.
func cutPair(text string) (key, value, rest string, ok bool) {
	key, remaining, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(remaining, `"`) {
		value, rest, _ = strings.Cut(remaining, " ")
		return key, value, rest, true
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
	return key, strings.ReplaceAll(remaining[1:end], `\"`, `"`), strings.TrimLeft(remaining[end+1:], " "), true
}

// descriptionsByOutcome maps the outcome of a request, as logged, to its explanation.
var descriptionsByOutcome = map[string]string{
	"answered":                  "answered by an upstream",
	"no_configuration":          "refused, not run: the entry had not received a configuration yet; look for event=store_lost after its start",
	"no_route":                  "refused: no route of this configuration matches the host and path",
	"configuration_unconfirmed": "refused: the entry has no such route or API key, and has not confirmed lately that its configuration is current; another entry may have them",
	"unknown_key":               "refused: the API key belongs to no organisation in this configuration",
	"header_too_large":          "refused: the header exceeds the configuration's limit",
	"body_too_large":            "refused: the body exceeds the configuration's limit",
	"body_not_read":             "refused, not run: the caller did not send the complete body in time",
	"stopping":                  "refused, not run: the entry was shutting down, and the response might not have ended before the entry did; retry_after_ms is the time after which another entry can serve it",
	"no_upstream":               "refused, not run: the list of upstreams had no usable one of the service",
	"no_memory":                 "refused, not run: no engine or group of engines had enough memory for this prompt",
	outcomeQuarantined:          "refused, not run: upstreams crashed one after the other while they ran requests with the same fingerprint; see event=upstream_ended with the same content",
	"upstreams_pause":           "refused, not run: every remaining upstream asked this entry to send no requests for some time; see event=upstream_pauses",
	"overloaded":                "refused, not run: the first event was predicted for after the time that the caller waits for it",
	"too_costly":                "refused, not run: its displacement cost to requests in progress would have exceeded its value",
	"refused_by_upstream":       "refused, not run: every upstream that was sent the request stated that it did not run it",
	"upstream_unreachable":      "refused, not run: no connection to an upstream could be established",
	"upstream_failed":           "failed: an upstream broke off its response or responded with an error, and no other upstream could be tried",
	"deadline":                  "failed: the time limit of the route or the caller passed before an upstream had responded",
	"caller_left":               "ended: the caller closed its connection",
	"cut_off":                   "failed: the entry was shutting down, and exited before the response ended",
	"stream_broken":             "failed: the stream broke after its start and could not be resumed at another upstream",
	"internal_error":            "failed: internal error of the entry; look for event=panic",
}

// describeCause returns the text of Explanation.Cause from the log lines of a request, oldest first.
func describeCause(requestLines []logLine) string {
	cause := "still in progress, or its end was not logged"
	for _, line := range requestLines {
		if line.fields["event"] != "request" {
			continue
		}
		cause = descriptionsByOutcome[line.fields["outcome"]]
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

// missingLines returns a description of each expected line that is absent: the line that ends the request, and a
// line for an upstream's selection if the request had attempts.
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
		missing = append(missing, "event=request: the entry exited before the request ended, or the line was dropped")
	}
	if attempts != "" && attempts != "0" && count["place"] == 0 {
		missing = append(missing, "event=place: "+attempts+" attempts were made, but none of these lines was found")
	}
	return missing
}
