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
	// maxFormBytes is the maximum size of a request body. Only posted forms have one.
	maxFormBytes = 16 << 20
	// platformTimeout is the time limit for fetching the document from the platform and, separately, for
	// requesting the status of all of Config.Entries, one after the other.
	platformTimeout = 3 * time.Second
)

// Config configures a Console.
type Config struct {
	// Platform is the address of the platform, which serves the published document.
	Platform netip.AddrPort
	// Entries are the addresses of entries whose document in force is compared with the platform's. The two
	// differ, for example, if two documents with the same revision were published: entries use the one with the
	// greater digest, but the platform may show the other. The list may be empty.
	Entries []netip.AddrPort
	// SealingKey is the private key that signs checked documents.
	SealingKey ed25519.PrivateKey
	// HTTPClient sends the console's requests to the platform and to the entries.
	HTTPClient *http.Client
	// Log receives an event for each sealed document and for each page whose response could not be written
	// completely.
	Log *zap.Logger
}

// Console serves the web forms in which operators edit the configuration document. It is safe for concurrent use.
type Console struct {
	config Config
	pages  *template.Template
}

//go:embed pages.html
var pages string

// New returns a console. All fields of the configuration but Entries are required. The error says that the
// embedded page template can't be parsed.
func New(c Config) (*Console, error) {
	t, err := template.New("pages").Parse(pages)
	if err != nil {
		return nil, fmt.Errorf("parse page template: %w", err)
	}
	return &Console{config: c, pages: t}, nil
}

// Handler returns the HTTP handler of the console's pages. It refuses posts that a page of another origin sent, so
// that other web sites can't submit a form through an operator's browser.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.handleForm)
	mux.HandleFunc("POST /edit", c.handleEdit)
	mux.HandleFunc("POST /seal", c.handleSeal)
	return http.NewCrossOriginProtection().Handler(withSecurityHeaders(mux))
}

// withSecurityHeaders returns a handler that calls next with the request body limited to maxFormBytes. It sets
// response headers that forbid the browser to run scripts in a page, to show it in a frame of another page and to
// cache it.
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

// page holds the data that the page template shows.
type page struct {
	// Revision and Base are the revision and digest of the document that was in force when the operator opened the
	// form.
	Revision uint64
	Base     string
	// Fields are the form fields of the edited document. If the list is empty, the page shows no form.
	Fields []field
	// Errors holds a line for each reason why the request failed or the edited document is invalid.
	Errors []string
	// IsValid is true if the edited document passed the check. Changes and Effects are shown only then.
	IsValid bool
	// Changes lists the values that differ between the document in force and the edited one.
	Changes []change
	// Effects holds a sentence for each effect of the changes on running engines and on organisations.
	Effects []string
	// Warning says that the document in force is unknown, differs between the platform and an entry, or is not the
	// one that the operator opened. It is empty if none of these was found.
	Warning string
	// SealedDocument is the text of the sealed document, which the operator has to publish. It is empty unless the
	// document was just sealed.
	SealedDocument string
}

// fetchInForce fetches the published document from the platform and checks it. It returns an error if the platform
// does not respond with HTTP status 200 within platformTimeout or the document is invalid.
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
	text, err := decoder.ReadAll(response.Body, validator.MaxDocumentSize)
	if err != nil {
		return nil, fmt.Errorf("read document in force: %w", err)
	}
	accepted, err := validator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("parse document in force: %w", err)
	}
	return accepted, nil
}

// render responds with an HTTP status and the page. It logs an error of the template or the connection, because
// the response can no longer be changed then.
func (c *Console) render(w http.ResponseWriter, status int, content page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.Execute(w, content); err != nil {
		c.config.Log.Warn("console_page", zap.Error(err))
	}
}

// handleForm responds with a form that contains the document in force, or with status 502 and the error if that
// document can't be fetched.
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

// mismatchWarning returns a warning about the first entry whose document in force is not the shown version. It
// returns an empty string if there is none. Entries that don't respond or have no document are skipped.
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

// errorLines splits an error's message into lines. Joined errors have a line for each error.
func errorLines(err error) []string { return strings.Split(err.Error(), "\n") }

// draft is a document that an operator has edited and posted by the form.
type draft struct {
	document validator.Document
	// text is the document encoded as YAML. It is set by validate.
	text []byte
	// baseDigest is the digest of the document that was in force when the operator opened the form.
	baseDigest string
	// validationErr is the error of parsing the form's fields or of validate, nil if none was found.
	validationErr error
}

// parseDraft parses a posted form into a draft whose revision is one greater than that of the document it was
// edited from. It returns an error if the form or that revision is malformed. Other fields that can't be parsed
// are reported by the draft's validationErr.
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

// validate sets text to the YAML of the document, and validationErr to the error of validator.Parse, the check
// that entries apply too. It does nothing if validationErr is set already.
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

// handleEdit handles the buttons that add or remove a list item and the one that checks the document. It responds
// with a form of the changed document or, after a check, also with its errors or its differences from the document
// in force.
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

// addComparison sets the page's Changes and Effects by comparing the draft with the document in force. It sets a
// Warning if the document in force can't be fetched, differs from that of an entry, or is not the one that the
// draft was edited from.
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

// errNotValid is the error shown to an operator who tries to seal an invalid document.
var errNotValid = errors.New("a document that does not pass the check can't be sealed")

// handleSeal checks the posted draft, seals it and logs the event sealed. It responds with a page that shows the
// sealed document, with the document itself if the download button was pressed, or with status 422 and the errors
// if the document is invalid.
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
