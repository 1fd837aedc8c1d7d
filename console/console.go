// Package console serves web forms in which operators edit the configuration document. The forms start with the
// document in force, show the differences from it and their effects, and return the checked and sealed document.
// Operators publish it themselves, by the platform's own means. The console has no state: the page in the browser
// carries the edited document. The pages need no scripts.
package console

import (
	"context"
	"crypto/ed25519"
	_ "embed"
	"errors"
	"fmt"
	"html/template"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"
	"go.yaml.in/yaml/v3"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/sealer"
	"github.com/sapphireramp/sapphireramp/validator"
)

const (
	// maxFormBytes bounds the body of a request, in practice a posted form.
	maxFormBytes = 16 << 20
	// platformTimeout bounds the fetch of the document from the platform and, separately, the requests for the
	// status of all entries together.
	platformTimeout = 3 * time.Second
)

// Config configures a Console.
type Config struct {
	// Platform is the address of the platform, which serves the published document.
	Platform netip.AddrPort
	// Entries are addresses of entries whose document in force is compared with the platform's: the platform may
	// show a document that another of the same revision has superseded. The list may be empty.
	Entries []netip.AddrPort
	// SealingKey seals the documents.
	SealingKey ed25519.PrivateKey
	// HTTPClient sends the requests to the platform and the entries.
	HTTPClient *http.Client
	// Log receives an event for each sealed document and for each page that could not be written.
	Log *zap.Logger
}

// Console serves the operators' forms. It is safe for concurrent use.
type Console struct {
	config Config
	pages  *template.Template
}

//go:embed pages.html
var pages string

// New returns a console. All fields of the configuration but Entries are required.
func New(c Config) (*Console, error) {
	t, err := template.New("pages").Parse(pages)
	if err != nil {
		return nil, fmt.Errorf("parse page template: %w", err)
	}
	return &Console{config: c, pages: t}, nil
}

// Handler returns the handler of the console's pages. It refuses posts from other origins, so that other web sites
// can't submit a form through an operator's browser.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.handleForm)
	mux.HandleFunc("POST /edit", c.handleEdit)
	mux.HandleFunc("POST /seal", c.handleSeal)
	return http.NewCrossOriginProtection().Handler(withSecurityHeaders(mux))
}

// withSecurityHeaders bounds request bodies, and sets headers that forbid pages to run scripts, to be shown in
// frames of other pages and to be cached.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// page holds the data of the page template.
type page struct {
	// Revision and Base are the revision and the digest of the document that was in force when editing began.
	Revision uint64
	Base     string
	// Fields are the form fields of the edited document. The page has no form if there are none.
	Fields []field
	// Errors lists why the request failed or the document is invalid.
	Errors []string
	// IsValid is true if the document passed the check. Changes and Effects are shown only if it is true.
	IsValid bool
	// Changes are the differences between the document in force and the edited one.
	Changes []change
	// Effects describes in words what the changes do to running engines and to organisations.
	Effects []string
	// Warning says that the document in force may have changed or is not known; empty for none.
	Warning string
	// SealedDocument is the document to publish, empty if it was not sealed.
	SealedDocument string
}

// fetchInForce fetches the document in force from the platform and checks it.
func (c *Console) fetchInForce(ctx context.Context) (*validator.ValidDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	url := "http://" + c.config.Platform.String() + api.PathConfig
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request for document in force: %w", err)
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch document in force: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch document in force: HTTP status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, validator.MaxDocumentSize+1))
	if err != nil {
		return nil, fmt.Errorf("read document in force: %w", err)
	}
	accepted, err := validator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("parse document in force: %w", err)
	}
	return accepted, nil
}

// render writes the page. It only logs errors, as the response has already begun.
func (c *Console) render(w http.ResponseWriter, status int, content page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.Execute(w, content); err != nil {
		c.config.Log.Warn("console_page", zap.Error(err))
	}
}

// handleForm shows a form with the document in force.
func (c *Console) handleForm(w http.ResponseWriter, r *http.Request) {
	inForce, err := c.fetchInForce(r.Context())
	if err != nil {
		c.render(w, http.StatusBadGateway, page{Errors: errorLines(err)})
		return
	}
	c.render(w, http.StatusOK, page{
		Revision: inForce.Version.Revision, Base: inForce.Version.Digest, Fields: formFields(inForce.Document),
		Warning: c.mismatchWarning(r.Context(), inForce.Version),
	})
}

// mismatchWarning returns a warning if an entry has another document in force than the platform shows, else an empty
// string. It skips entries that don't respond.
func (c *Console) mismatchWarning(ctx context.Context, shown validator.DocumentVersion) string {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for _, entry := range c.config.Entries {
		var status api.Status
		request, err := sling.New().Base("http://" + entry.String()).Get(api.PathStatus).Request()
		if err != nil {
			continue
		}
		_, err = sling.New().Client(c.config.HTTPClient).Do(request.WithContext(ctx), &status, nil)
		if err != nil || status.Digest == "" || status.Digest == shown.Digest {
			continue
		}
		return fmt.Sprintf("Entry %s has revision %d, digest %s, in force, not what the platform shows (revision %d, digest %s). If the entry's revision is greater, or the revisions are equal and the entry's digest is greater, publish a document whose revision is greater than both.",
			status.Name, status.Revision, validator.ShortenDigest(status.Digest), shown.Revision, validator.ShortenDigest(shown.Digest))
	}
	return ""
}

// errorLines returns the lines of an error's message. An error that combines several has one line for each.
func errorLines(err error) []string { return strings.Split(err.Error(), "\n") }

// draft is an edited document, as posted by the form.
type draft struct {
	document validator.Document
	// text is the document in YAML; empty before validate.
	text []byte
	// baseDigest is the digest of the document in force when editing began.
	baseDigest string
	// validationErr says why the form or the document is invalid, nil if no error was found.
	validationErr error
}

// parseDraft parses a posted form. It returns an error if the form or its revision is malformed; invalid fields of the
// document are in the draft's validationErr. The draft's revision is one greater than that of its base.
func (c *Console) parseDraft(r *http.Request) (draft, error) {
	if err := r.ParseForm(); err != nil {
		return draft{}, fmt.Errorf("form: must be complete and at most %d bytes: %w", maxFormBytes, err)
	}
	d := draft{baseDigest: r.PostForm.Get("Base")}
	var revision uint64
	if _, err := fmt.Sscan(r.PostForm.Get("Revision"), &revision); err != nil {
		return draft{}, decoder.FieldError{Field: "Revision", Value: r.PostForm.Get("Revision"), Requirement: "a whole number of at least 0"}
	}
	document, err := parseDocument(r.PostForm)
	d.document, d.validationErr = document, err
	d.document.Revision, d.document.Base = revision+1, d.baseDigest
	return d, nil
}

// validate encodes the draft as YAML and checks it by validator.Parse, the same check that entries use.
func (d *draft) validate() {
	if d.validationErr != nil {
		return
	}
	text, err := yaml.Marshal(d.document)
	if err != nil {
		d.validationErr = fmt.Errorf("encode document: %w", err)
		return
	}
	d.text = text
	_, d.validationErr = validator.Parse(text)
}

// handleEdit executes the action of the pressed button: it adds or removes a list item, or checks the document.
func (c *Console) handleEdit(w http.ResponseWriter, r *http.Request) {
	d, err := c.parseDraft(r)
	if err != nil {
		c.render(w, http.StatusBadRequest, page{Errors: errorLines(err)})
		return
	}
	result := page{Revision: d.document.Revision - 1, Base: d.baseDigest}
	action := r.PostForm.Get("Action")
	if action == "check" {
		d.validate()
	} else if d.validationErr == nil {
		d.validationErr = applyAction(&d.document, action)
	}
	result.Fields = formFields(d.document)
	if d.validationErr != nil {
		result.Fields = restoreInput(result.Fields, r.PostForm)
		result.Errors = errorLines(d.validationErr)
		c.render(w, http.StatusOK, result)
		return
	}
	if action != "check" {
		c.render(w, http.StatusOK, result)
		return
	}
	result.IsValid = true
	c.addComparison(r.Context(), d, &result)
	c.render(w, http.StatusOK, result)
}

// addComparison sets the page's changes and effects from the draft and the document in force. It sets a warning if
// the document in force can't be read, differs from that of an entry, or is no longer the draft's base.
func (c *Console) addComparison(ctx context.Context, d draft, result *page) {
	inForce, err := c.fetchInForce(ctx)
	if err != nil {
		result.Warning = "The document in force can't be read, so the difference is not known: " + err.Error()
		return
	}
	result.Warning = c.mismatchWarning(ctx, inForce.Version)
	if inForce.Version.Digest != d.baseDigest {
		result.Warning = fmt.Sprintf("The document in force is no longer the one that you edited: it is revision %d now. If you publish this document, it may be superseded by that one, or revert its changes.", inForce.Version.Revision)
	}
	result.Changes = listChanges(inForce.Document, d.document)
	result.Effects = describeEffects(inForce.Document, d.document)
}

// errNotValid is shown when an operator tries to seal an invalid document.
var errNotValid = errors.New("a document that does not pass the check can't be sealed")

// handleSeal checks the draft and seals it. It shows the sealed document in a page, or sends the document as a
// download if the button for that was pressed.
func (c *Console) handleSeal(w http.ResponseWriter, r *http.Request) {
	d, err := c.parseDraft(r)
	if err != nil {
		c.render(w, http.StatusBadRequest, page{Errors: errorLines(err)})
		return
	}
	d.validate()
	result := page{Revision: d.document.Revision - 1, Base: d.baseDigest, Fields: formFields(d.document)}
	if d.validationErr != nil {
		result.Fields = restoreInput(result.Fields, r.PostForm)
		result.Errors = append(errorLines(errNotValid), errorLines(d.validationErr)...)
		c.render(w, http.StatusUnprocessableEntity, result)
		return
	}
	document := sealer.Seal(d.text, c.config.SealingKey)
	result.IsValid, result.SealedDocument = true, string(document)
	c.addComparison(r.Context(), d, &result)
	c.config.Log.Info("sealed", zap.Uint64("revision", d.document.Revision), zap.String("digest", validator.Digest(document)), zap.String("base", d.baseDigest))
	if r.PostForm.Get("Download") != "" {
		w.Header().Set("Content-Type", "application/yaml")
		w.Header().Set("Content-Disposition", fmt.Sprintf("attachment; filename=document-%d.yaml", d.document.Revision))
		_, _ = w.Write(document)
		return
	}
	c.render(w, http.StatusOK, result)
}
