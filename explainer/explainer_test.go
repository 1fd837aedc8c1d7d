package explainer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/explainer"
)

const logs = `   2.0 entry-1 time=2026-03-06T08:11:27Z level=info layer=entry event=place request=r1 upstream=i-1
time=2026-03-06T08:11:29Z level=warn layer=entry event=request request=r1 outcome=stream_broken status=200 took_ms=2000 attempts=2 config_revision=7 error="read \"x\": reset"
time=2026-03-06T08:11:28Z level=warn layer=entry event=attempt request=r1 verdict=broken upstream=i-1 error="read stream: reset"
time=2026-03-06T08:11:28Z level=info layer=entry event=request request=r12 outcome=answered status=200
time=2026-03-06T08:11:28Z level=warn layer=entry event=request request=r3 outcome=too_costly status=503 took_ms=0 attempts=0 config_revision=7
time=2026-03-06T08:11:28Z level=info layer=entry event=request request=r4 outcome=answered attempts=1 status=200
broken line request=r1
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	explanation, err := explainer.Explain(strings.NewReader(logs), "r1")
	is.NoErr(err)
	is.Equal(len(explanation.Lines), 3)
	is.True(strings.Contains(explanation.Lines[1], "event=attempt")) // lines are sorted by time
	is.True(strings.HasPrefix(explanation.Cause, "failed: the stream broke"))
	is.True(strings.Contains(explanation.Cause, `(read "x": reset)`))
	is.True(strings.Contains(explanation.Cause, "at i-1: broken"))
	is.Equal(len(explanation.MissingLines), 0)
}

func TestExplainRefusal(t *testing.T) {
	is := is.New(t)
	explanation, err := explainer.Explain(strings.NewReader(logs), "r3")
	is.NoErr(err)
	is.True(strings.HasPrefix(explanation.Cause, "refused, not run: its displacement cost to requests in progress"))
}

// The crashes that led to a quarantine are logged with other requests that have the same fingerprint.
func TestExplainQuarantine(t *testing.T) {
	is := is.New(t)
	explanation, err := explainer.Explain(strings.NewReader(`time=2026-03-06T08:11:29Z level=warn event=quarantined content=c1 strikes=3 source=own
time=2026-03-06T08:11:30Z level=warn event=request request=r5 outcome=quarantined status=503 took_ms=0 attempts=0 content=c1 config_revision=7
time=2026-03-06T08:11:28Z level=warn event=upstream_ended request=r2 content=c1 upstream=i-1
time=2026-03-06T08:11:28Z level=warn event=upstream_ended request=r3 content=c2 upstream=i-2
`), "r5")
	is.NoErr(err)
	is.Equal(len(explanation.Lines), 3)
	is.True(strings.Contains(explanation.Lines[0], "upstream_ended request=r2"))
	is.True(strings.HasPrefix(explanation.Cause, "refused, not run: upstreams crashed one after the other"))
}

// A request that was refused because of a part of its prompt leads to the crashes behind it, which were those of other
// requests.
func TestExplainRefusedPart(t *testing.T) {
	is := is.New(t)
	explanation, err := explainer.Explain(strings.NewReader(`time=2026-03-06T08:11:28Z level=warn event=upstream_ended request=r2 content=c1 upstream=i-1 parts=p1.a,p2.a
time=2026-03-06T08:11:28Z level=warn event=upstream_ended request=r3 content=c2 upstream=i-1 parts=p1.a,p3.a
time=2026-03-06T08:11:29Z level=warn event=part_suspected part=p2.a crashes=2 source=own
time=2026-03-06T08:11:29Z level=warn event=part_tried request=r4 part=p2.a
time=2026-03-06T08:11:30Z level=warn event=part_quarantined part=p2.a,p4.a crashes=3 source=own
time=2026-03-06T08:11:31Z level=warn event=part_refused request=r5 part=p2.a,p4.a certain=true crashes=3
time=2026-03-06T08:11:31Z level=warn event=request request=r5 outcome=quarantined status=503 took_ms=0 attempts=0 content=c5 config_revision=7
`), "r5")
	is.NoErr(err)
	is.Equal(len(explanation.Lines), 6) // all but that of r3
	is.True(strings.Contains(explanation.Lines[0], "upstream_ended request=r2"))
	is.True(strings.Contains(explanation.Cause, "same part of their prompts"))
}

func TestMissingLinesAreNamed(t *testing.T) {
	is := is.New(t)
	explanation, err := explainer.Explain(strings.NewReader(logs), "r4")
	is.NoErr(err)
	is.Equal(len(explanation.MissingLines), 1)
	_, err = explainer.Explain(strings.NewReader(logs), "r9")
	is.True(errors.Is(err, explainer.ErrNoLines))
}

func FuzzExplain(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(_ *testing.T, text string) { _, _ = explainer.Explain(strings.NewReader(text), "r1") })
}
