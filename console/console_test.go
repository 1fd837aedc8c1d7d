package console

import (
	"crypto/ed25519"
	"html"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/validator"
)

var testKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// testConsole is a console with a test platform and one test entry.
type testConsole struct {
	t      *testing.T
	server *httptest.Server
	// document is the response of the platform.
	document string
	// entryStatus is the response of the entry to a request for its status.
	entryStatus string
}

func withTestConsole(t *testing.T, f func(*testConsole)) {
	t.Helper()
	data, err := os.ReadFile("../_fixtures/document.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tc := &testConsole{t: t, document: string(data)}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, tc.document)
	}))
	defer platform.Close()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, tc.entryStatus)
	}))
	defer entry.Close()
	c, err := New(Config{
		Entries:    []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(entry.URL, "http://"))},
		Platform:   netip.MustParseAddrPort(strings.TrimPrefix(platform.URL, "http://")),
		SealingKey: testKey, HTTPClient: http.DefaultClient, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	tc.server = httptest.NewServer(c.Handler())
	defer tc.server.Close()
	f(tc)
}

var (
	inputPattern    = regexp.MustCompile(`<input type="(hidden|text|checkbox)"[^>]*name="([^"]+)" value="([^"]*)"( checked)?`)
	textareaPattern = regexp.MustCompile(`(?s)<textarea[^>]*>(.*)</textarea>`)
)

// loadForm fetches the first page and returns its form as a browser would post it.
func (tc *testConsole) loadForm() url.Values {
	response, err := http.Get(tc.server.URL)
	if err != nil {
		tc.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return parseForm(string(data))
}

// parseForm returns the form of a page as a browser would post it: unchecked boxes are left out.
func parseForm(page string) url.Values {
	form := url.Values{}
	for _, m := range inputPattern.FindAllStringSubmatch(page, -1) {
		if m[1] != "checkbox" || m[4] != "" {
			form.Set(m[2], html.UnescapeString(m[3]))
		}
	}
	return form
}

func (tc *testConsole) post(path string, form url.Values, header ...string) (int, string) {
	r, _ := http.NewRequest(http.MethodPost, tc.server.URL+path, strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		tc.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

func (tc *testConsole) postAction(form url.Values, action string) string {
	form.Set("Action", action)
	_, page := tc.post("/edit", form)
	return page
}

// sealedDocument extracts the sealed document from a page; it is empty if the page has none.
func sealedDocument(page string) string {
	m := textareaPattern.FindStringSubmatch(page)
	if m == nil {
		return ""
	}
	return html.UnescapeString(m[1])
}

func TestEditCheckSeal(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		form := tc.loadForm()
		form.Set("Engines.0.Role", "Long")
		form.Set("Organisations.1.Models", "")
		form.Set("Organisations.1.Services", "dispatch")
		page := tc.postAction(form, "check")
		is.True(strings.Contains(page, "The document passes the check."))
		is.True(strings.Contains(page, "Engines[engine-1].Role"))
		is.True(strings.Contains(page, "engine engine-1 changes its role once its streams have ended"))
		is.True(strings.Contains(page, "organisation condor-linemen loses model inspector"))
		status, page := tc.post("/seal", form)
		is.Equal(status, http.StatusOK)
		document := sealedDocument(page)
		is.NoErr(sealer.Verify([]byte(document), []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}))
		accepted, err := validator.Parse([]byte(document))
		is.NoErr(err)
		is.Equal(accepted.Version.Revision, uint64(2))
		is.Equal(accepted.Document.Base, validator.Digest([]byte(tc.document)))
		is.Equal(accepted.Document.Engines[0].Role, "Long")
	})
}

// Guards against a form that can't set an organisation's rank, and against a document without ranks whose text, and so
// whose digest and seal, changes because of them.
func TestRankIsEdited(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		form := tc.loadForm()
		_, page := tc.post("/seal", form)
		is.True(sealedDocument(page) != "" && !strings.Contains(sealedDocument(page), "Rank"))
		form.Set("Organisations.1.Rank", "3")
		is.True(strings.Contains(tc.postAction(form, "check"), "Organisations[condor-linemen].Rank"))
		_, page = tc.post("/seal", form)
		accepted, err := validator.Parse([]byte(sealedDocument(page)))
		is.NoErr(err)
		is.Equal(accepted.Document.Organisations[1].Rank, 3)
		form.Set("Organisations.1.Rank", "10")
		is.True(strings.Contains(tc.postAction(form, "check"), "must be 0 to 9"))
	})
}

func TestAddAndRemove(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		page := tc.postAction(tc.loadForm(), "add:Engines")
		is.True(strings.Contains(page, `name="Engines.3.Name"`))
		page = tc.postAction(parseForm(page), "remove:Engines.3")
		is.True(!strings.Contains(page, `name="Engines.3.Name"`))
		page = tc.postAction(parseForm(page), "add:Services.0.Calls")
		is.True(strings.Contains(page, `name="Services.0.Calls.2.Name"`))
		for _, bad := range []string{"add:Nothing", "remove:Engines.99", "remove:Engines", "add:", "burn:Engines"} {
			is.True(strings.Contains(tc.postAction(tc.loadForm(), bad), "This does not pass the check"))
		}
	})
}

// An invalid document is not sealed; the page names the invalid fields and keeps the operator's input.
func TestInvalidDocumentIsNotSealed(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		form := tc.loadForm()
		form.Set("Engines.0.MemoryTokens", "many")
		form.Set("Limits.MaxTimeout", "soon")
		page := tc.postAction(form, "check")
		is.True(strings.Contains(page, "Engines.0.MemoryTokens: &#34;many&#34;: must be a whole number"))
		is.True(strings.Contains(page, "Limits.MaxTimeout: &#34;soon&#34;"))
		is.True(strings.Contains(page, `name="Engines.0.MemoryTokens" value="many"`))
		status, page := tc.post("/seal", form)
		is.Equal(status, http.StatusUnprocessableEntity)
		is.Equal(sealedDocument(page), "")
		form = tc.loadForm()
		form.Set("Organisations.0.Models", "<script>alert(1)</script>")
		page = tc.postAction(form, "check")
		is.True(strings.Contains(page, "Organisations[0].Models[0]"))
		is.True(!strings.Contains(page, "<script>"))
		form.Set("Engines.#", "100000000")
		is.True(strings.Contains(tc.postAction(form, "check"), "a list of 0 to 10000 items"))
		form.Set("Revision", "-1")
		status, _ = tc.post("/edit", form)
		is.Equal(status, http.StatusBadRequest)
	})
}

func TestOtherOriginsAndLargeFormsAreRefused(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		status, _ := tc.post("/seal", tc.loadForm(), "Sec-Fetch-Site", "cross-site")
		is.Equal(status, http.StatusForbidden)
		status, page := tc.post("/edit", url.Values{"Revision": {strings.Repeat("1", maxFormBytes)}})
		is.Equal(status, http.StatusBadRequest)
		is.True(strings.Contains(page, "at most 16777216 bytes"))
	})
}

// Two operators edit the same document. Once the first has published, the second is warned when checking and when
// sealing.
func TestWarnsOfDraftWithOldBase(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		first, second := tc.loadForm(), tc.loadForm()
		first.Set("Policy.ShortWeight", "7")
		second.Set("Policy.ShortWeight", "9")
		_, page := tc.post("/seal", first)
		is.True(!strings.Contains(page, "no longer the one that you edited"))
		tc.document = sealedDocument(page)
		is.True(strings.Contains(tc.postAction(second, "check"), "no longer the one that you edited"))
		_, page = tc.post("/seal", second)
		is.True(strings.Contains(page, "revision 2 now"))
		is.True(sealedDocument(page) != "")
	})
}

// The platform shows the document published last, which may have lost to another of the same revision. The status of
// an entry shows the document in force.
func TestWarnsOfEntryWithAnotherDocument(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		is.True(!strings.Contains(tc.postAction(tc.loadForm(), "check"), "not what the platform shows"))
		tc.entryStatus = `{"Name":"entry-1","Revision":1,"Digest":"ffff"}`
		is.True(strings.Contains(tc.postAction(tc.loadForm(), "check"), "Entry entry-1 has revision 1, digest ffff, in force, not what the platform shows"))
	})
}

func TestDraftIsSealedWithoutPlatform(t *testing.T) {
	withTestConsole(t, func(tc *testConsole) {
		is := is.New(t)
		form := tc.loadForm()
		tc.document = "not a document"
		response, err := http.Get(tc.server.URL)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusBadGateway)
		// The edited document can still be checked and sealed.
		_, page := tc.post("/seal", form)
		is.True(strings.Contains(page, "the difference is not known"))
		is.True(sealedDocument(page) != "")
	})
}
