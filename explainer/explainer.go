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

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// ErrNoLines says that no line names the request.
var ErrNoLines = errors.New("no line names this request: it never reached an entry whose log is here, or lines were dropped (look for event=log_lines_dropped)")

// line is one log line as key=value pairs.
type line struct {
	at     time.Time
	fields map[string]string
	text   string
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
	var found []line
	ends := map[string][]line{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if l, ok := parseEnd(text); ok {
			content := l.fields["content"]
			ends[content] = append(ends[content], l)
		}
		if !strings.Contains(text, "request="+request) {
			continue
		}
		if l, ok := parse(text); ok && l.fields["request"] == request {
			found = append(found, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return Explanation{}, fmt.Errorf("read logs: %w", err)
	}
	if len(found) == 0 {
		return Explanation{}, ErrNoLines
	}
	byTime := func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
	slices.SortStableFunc(found, byTime)
	story := Explanation{Cause: cause(found), MissingLines: missing(found)}
	if last := found[len(found)-1].fields; last["outcome"] == outcomeQuarantined {
		found = append(found, ends[last["content"]]...)
		slices.SortStableFunc(found, byTime)
	}
	for _, l := range found {
		story.Lines = append(story.Lines, l.text)
	}
	return story, nil
}

// outcomeQuarantined is that of requests whose content ends upstreams.
const outcomeQuarantined = "quarantined"

// parseEnd reads a line that says of a content that it has ended an upstream, or is refused.
func parseEnd(text string) (line, bool) {
	if !strings.Contains(text, "event=upstream_ended") && !strings.Contains(text, "event=quarantined") {
		return line{}, false
	}
	return parse(text)
}

// parse reads one logfmt line.
func parse(text string) (line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return line{}, false
	}
	l := line{fields: map[string]string{}, text: text[start:]}
	rest := l.text
	for rest != "" {
		name, value, after, ok := pair(rest)
		if !ok {
			return line{}, false
		}
		l.fields[name] = value
		rest = after
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return line{}, false
	}
	l.at = at
	return l, true
}

// pair cuts the first key=value pair off a line.
func pair(text string) (name, value, rest string, ok bool) {
	name, after, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(after, `"`) {
		value, rest, _ = strings.Cut(after, " ")
		return name, value, rest, true
	}
	end := 1
	for end < len(after) && after[end] != '"' {
		if after[end] == '\\' {
			end++
		}
		end++
	}
	if end >= len(after) {
		return "", "", "", false
	}
	return name, strings.ReplaceAll(after[1:end], `\"`, `"`), strings.TrimLeft(after[end+1:], " "), true
}

// causes says what each outcome of a request means.
var causes = map[string]string{
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

// cause puts the end of a request and what led to it into one line.
func cause(found []line) string {
	text := "still in progress, or its end was not logged"
	for _, l := range found {
		if l.fields["event"] != "request" {
			continue
		}
		text = causes[l.fields["outcome"]]
		if text == "" {
			text = "ended as " + l.fields["outcome"]
		}
		if reason := l.fields["error"]; reason != "" {
			text += " (" + reason + ")"
		}
		text += fmt.Sprintf("; status %s after %s ms, configuration revision %s", l.fields["status"], l.fields["took_ms"], l.fields["config_revision"])
	}
	for _, l := range found {
		if l.fields["event"] == "attempt" {
			text += fmt.Sprintf("; at %s: %s (%s)", l.fields["upstream"], l.fields["verdict"], l.fields["error"])
		}
	}
	return text
}

// missing compares what the end of a request says with the lines before it.
func missing(found []line) []string {
	count := map[string]int{}
	attempts := ""
	for _, l := range found {
		count[l.fields["event"]]++
		if l.fields["event"] == "request" {
			attempts = l.fields["attempts"]
		}
	}
	var out []string
	if count["request"] == 0 {
		out = append(out, "event=request: the entry ended before the request did, or the line was dropped")
	}
	if attempts != "" && attempts != "0" && count["place"] == 0 {
		out = append(out, "event=place: "+attempts+" attempts were made and none is here")
	}
	return out
}
