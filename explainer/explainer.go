// Package explainer finds the log lines of one request in the logs of all entries. From these lines it derives why
// the request ended as it did, and which lines are missing.
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

// maxLineBytes is the maximum length of a log line. Explain returns an error if a line is longer.
const maxLineBytes = 1 << 20

// ErrNoLines is the error of Explain if no log line has the ID of the request.
var ErrNoLines = errors.New("no log line has this request id: the request reached none of the entries whose logs were read, or lines were dropped (look for event=log_lines_dropped)")

// logLine is a parsed log line in logfmt, a sequence of key=value pairs.
type logLine struct {
	timestamp time.Time
	// fields maps keys to unquoted values.
	fields map[string]string
	// text is the line from its first "time=" on. A prefix that a log collector added before it is dropped.
	text string
}

// Explanation says why one request ended as it did, with the log lines that show it.
type Explanation struct {
	// Lines are the log lines of the request, oldest first. If the request was refused because of a quarantine,
	// they also include the lines of upstream crashes and quarantines for the same fingerprint (the hash that
	// identifies requests with equal content). If it was refused because of parts of its prompt, they include those
	// for these parts.
	Lines []string
	// Cause is a text without line breaks: the meaning of the request's outcome, its HTTP status, its duration,
	// the revision of the configuration that it used, the verdict of each attempt that was logged, and what each
	// relay answered.
	Cause string
	// MissingLines has a text for each log line that the logs should contain for this request but don't.
	MissingLines []string
}

// Explain reads log lines of all entries, in any order, and explains the request with the given ID. It ignores
// lines that are malformed, and whatever precedes "time=" in a line, as log collectors add prefixes. It returns
// ErrNoLines if no line has the ID, and an error if the logs can't be read or a line exceeds maxLineBytes.
func Explain(logs io.Reader, requestID string) (Explanation, error) {
	var requestLines []logLine
	quarantineLines, partLines := map[string][]logLine{}, map[string][]logLine{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if line, ok := parseQuarantineLine(text); ok {
			fingerprint := line.fields["content"]
			quarantineLines[fingerprint] = append(quarantineLines[fingerprint], line)
		}
		if line, parts, ok := parsePartLine(text); ok {
			for _, p := range parts {
				partLines[p] = append(partLines[p], line)
			}
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
	}
	requestLines = append(requestLines, linesOfRefusedParts(requestLines, partLines)...)
	slices.SortStableFunc(requestLines, byTime)
	for _, line := range requestLines {
		explanation.Lines = append(explanation.Lines, line.text)
	}
	return explanation, nil
}

// outcomeQuarantined is the logged outcome of a request that was refused because upstreams crashed while they ran
// requests with the same fingerprint.
const outcomeQuarantined = "quarantined"

// parseQuarantineLine parses a line of the event upstream_ended (an upstream crashed while it ran requests with
// the fingerprint in the line) or quarantined (entries refuse requests with the fingerprint). It returns false for
// lines of other events and for malformed lines.
func parseQuarantineLine(text string) (logLine, bool) {
	if !strings.Contains(text, "event=upstream_ended") && !strings.Contains(text, "event=quarantined") {
		return logLine{}, false
	}
	return parseLine(text)
}

// partEvents are the events about parts of prompts that crash upstreams.
var partEvents = []string{"upstream_ended", "part_suspected", "part_cleared", "part_quarantined", "part_released", "part_tried"}

// parsePartLine parses a line of one of partEvents, and returns it with the parts that it names. It returns false for
// lines of other events, without parts, and for malformed lines.
func parsePartLine(text string) (line logLine, parts []string, ok bool) {
	if !strings.Contains(text, "event=upstream_ended") && !strings.Contains(text, "event=part_") {
		return logLine{}, nil, false
	}
	line, ok = parseLine(text)
	named := cmp.Or(line.fields["part"], line.fields["parts"])
	if !ok || named == "" || !slices.Contains(partEvents, line.fields["event"]) {
		return logLine{}, nil, false
	}
	return line, strings.Split(named, ","), true
}

// linesOfRefusedParts returns the lines about those parts for which a request was refused, each once, without those
// among the lines of the request.
func linesOfRefusedParts(requestLines []logLine, partLines map[string][]logLine) []logLine {
	var found []logLine
	seen := map[string]bool{}
	for _, line := range requestLines {
		seen[line.text] = true
	}
	for _, line := range requestLines {
		if line.fields["event"] != "part_refused" {
			continue
		}
		for _, p := range strings.Split(line.fields["part"], ",") {
			for _, about := range partLines[p] {
				if !seen[about.text] {
					found, seen[about.text] = append(found, about), true
				}
			}
		}
	}
	return found
}

// parseLine parses a logfmt line from "time=" on. It returns false if the line has no "time=" pair with a valid
// time, or is malformed.
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

// cutPair splits the first key=value pair from a logfmt line. It returns the key, the value without quotes and the
// text after the pair. It returns false if the text has no "=" or the value's closing quote is missing.
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

// descriptionsByOutcome maps each outcome of a request, as it is logged, to its meaning.
var descriptionsByOutcome = map[string]string{
	"answered":                   "answered by an upstream",
	"no_configuration":           "refused, not run: the entry had not received a configuration yet; look for event=store_lost after its start",
	"no_route":                   "refused: no route of this configuration matches the host and path",
	"configuration_unconfirmed":  "refused: the entry has no such route or API key, and has not confirmed lately that its configuration is current; another entry may have them",
	"unknown_key":                "refused: the API key belongs to no organisation in this configuration",
	"header_too_large":           "refused: the header exceeds the configuration's limit",
	"body_too_large":             "refused: the body exceeds the configuration's limit",
	"body_not_read":              "refused, not run: the caller did not send the complete body in time",
	"stopping":                   "refused, not run: the entry was shutting down, and the response might not have ended before the entry did; retry_after_ms is the time after which another entry can serve it",
	"no_upstream":                "refused, not run: the list of upstreams had no usable one of the service",
	"no_upstream_in_home_region": "refused, not run: the list of upstreams had usable ones of the service, but none in the home regions of the route and the organisation",
	"no_memory":                  "refused, not run: no engine or group of engines had enough memory for this prompt",
	outcomeQuarantined:           "refused, not run: upstreams crashed one after the other while they ran requests with the same fingerprint, or with the same part of their prompts; see event=upstream_ended with the same content or part",
	"suspected":                  "refused, not run: upstreams crashed while they ran prompts that share a part with it, and it is not certain yet that the part was the cause; see event=part_suspected",
	"upstreams_cold":             "refused, not run: every remaining upstream is cold, and this entry may not send it a request yet",
	"upstreams_limited":          "refused, not run: every remaining upstream accepts a limited number of requests per second, and this entry may not send it one yet; see event=upstream_limit",
	"upstreams_pause":            "refused, not run: every remaining upstream asked this entry to send no requests for some time; see event=upstream_pauses",
	"overloaded":                 "refused, not run: the first event was predicted for after the time that the caller waits for it",
	"too_costly":                 "refused, not run: its displacement cost to requests in progress would have exceeded its value",
	"over_share":                 "refused, not run: the service was short of capacity, and the organisation had its share of it already; see event=over_share",
	"no_place_in_time":           "refused, not run: the organisation was over its share of the service, and the next time at which it can be served, retry_after_ms, is later than a third of the time left; nothing is reserved",
	"refused_by_upstream":        "refused, not run: every upstream that was sent the request stated that it did not run it",
	"upstream_unreachable":       "refused, not run: no connection to an upstream could be established",
	"memory_short":               "refused, not run: the entry had no memory for the request; see event=memory_short",
	"upstreams_cut_off":          "refused, not run: neither this entry nor any other that the request may pass through reaches upstreams; see event=upstreams_lost",
	"upstream_failed":            "failed: an upstream broke off its response or responded with an error, and no other upstream could be tried",
	"deadline":                   "failed: the time limit of the route or the caller passed before an upstream had responded",
	"caller_left":                "ended: the caller closed its connection",
	"cut_off":                    "failed: the entry was shutting down, and exited before the response ended",
	"stream_broken":              "failed: the stream broke after its start and could not be resumed at another upstream",
	"internal_error":             "failed: internal error of the entry; look for event=panic",
}

// describeCause returns the text of Explanation.Cause. It needs the log lines of one request, oldest first.
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
		if line.fields["event"] == "relay" {
			cause += fmt.Sprintf("; through %s to %s: %s", line.fields["relay"], line.fields["address"], cmp.Or(line.fields["outcome"], "no answer"))
		}
	}
	return cause
}

// missingLines returns a text for each line that is absent from the log lines of a request: the line
// event=request, which is logged when the request ends, if that line counts any attempts, a line event=place,
// which is logged when an upstream is selected, and for each answer of a relay its line event=tunnel.
func missingLines(requestLines []logLine) []string {
	count := map[string]int{}
	attempts, relayAnswers := "", 0
	for _, line := range requestLines {
		count[line.fields["event"]]++
		if line.fields["event"] == "relay" && line.fields["outcome"] != "" {
			relayAnswers++
		}
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
	if count["tunnel"] < relayAnswers {
		missing = append(missing, fmt.Sprintf("event=tunnel: %d relays answered, but %d of their lines were found; read the logs of all entries", relayAnswers, count["tunnel"]))
	}
	return missing
}
