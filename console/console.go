// Package console serves the operators' forms: load the document in force,
// edit it, see the difference and its effects, check it, and take away the
// sealed document to publish through the platform's own way. It keeps nothing
// and writes nothing anywhere; it works without scripts.
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
	// maxFormBytes bounds a posted form in bytes.
	maxFormBytes = 16 << 20
	// platformTimeout bounds the read of the document in force.
	platformTimeout = 3 * time.Second
)

// Config of a console.
type Config struct {
	Platform netip.AddrPort
	// Entries are asked what is in force: the platform may show a document
	// that lost to another of the same revision.
	Entries    []netip.AddrPort
	SealingKey ed25519.PrivateKey
	HTTPClient *http.Client
	Log        *zap.Logger
}

// Console serves the forms.
type Console struct {
	config Config
	pages  *template.Template
}

//go:embed pages.html
var pages string

// New returns a console.
func New(c Config) (*Console, error) {
	t, err := template.New("pages").Parse(pages)
	if err != nil {
		return nil, fmt.Errorf("read pages: %w", err)
	}
	return &Console{config: c, pages: t}, nil
}

// Handler returns the console's HTTP interface. Posts from other origins are
// refused.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.handleForm)
	mux.HandleFunc("POST /edit", c.handleEdit)
	mux.HandleFunc("POST /seal", c.handleSeal)
	return http.NewCrossOriginProtection().Handler(withSecurityHeaders(mux))
}

// withSecurityHeaders sets what keeps pages from being framed or running scripts.
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

// page is what the template shows.
type page struct {
	// Revision and Base are those of the document in force when editing began.
	Revision uint64
	Base     string
	Fields   []field
	// Errors are why the document does not pass; Checked says that it does.
	Errors  []string
	IsValid bool
	Changes []change
	Effects []string
	Warning string
	// SealedDocument is the document to publish.
	SealedDocument string
}

// fetchInForce reads the document in force from the platform.
func (c *Console) fetchInForce(ctx context.Context) (*validator.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	url := "http://" + c.config.Platform.String() + api.PathConfig
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make read: %w", err)
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read document in force: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read document in force: status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, validator.MaxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("read document in force: %w", err)
	}
	accepted, err := validator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("document in force: %w", err)
	}
	return accepted, nil
}

func (c *Console) render(w http.ResponseWriter, status int, content page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.Execute(w, content); err != nil {
		c.config.Log.Warn("console_page", zap.Error(err))
	}
}

// handleForm shows the document in force as a form.
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

// mismatchWarning warns when an entry has another document in force than the one
// that the platform shows.
func (c *Console) mismatchWarning(ctx context.Context, shown validator.Version) string {
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
		return fmt.Sprintf("Entry %s has revision %d, digest %s, in force, not what the platform shows (revision %d, digest %s). If it has the greater revision, or the greater digest of one revision, publish over it with a revision greater than both.",
			status.Name, status.Revision, validator.Shorten(status.Digest), shown.Revision, validator.Shorten(shown.Digest))
	}
	return ""
}

func errorLines(err error) []string { return strings.Split(err.Error(), "\n") }

// draft is a document as it was posted.
type draft struct {
	document   validator.Document
	text       []byte
	baseDigest string
	// validationErr are why it does not pass, nil if it does.
	validationErr error
}

func (c *Console) parseDraft(r *http.Request) (draft, error) {
	if err := r.ParseForm(); err != nil {
		return draft{}, fmt.Errorf("form: must be whole and at most %d bytes: %w", maxFormBytes, err)
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

// validate writes the draft as a document and has the one validator judge it.
func (d *draft) validate() {
	if d.validationErr != nil {
		return
	}
	text, err := yaml.Marshal(d.document)
	if err != nil {
		d.validationErr = fmt.Errorf("write document: %w", err)
		return
	}
	d.text = text
	_, d.validationErr = validator.Parse(text)
}

// handleEdit adds, removes or checks, as the button pressed says.
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

// addComparison fills in what the draft changes in the document in force, and warns
// when that is no longer its base.
func (c *Console) addComparison(ctx context.Context, d draft, result *page) {
	inForce, err := c.fetchInForce(ctx)
	if err != nil {
		result.Warning = "The document in force can't be read, so the difference is not known: " + err.Error()
		return
	}
	result.Warning = c.mismatchWarning(ctx, inForce.Version)
	if inForce.Version.Digest != d.baseDigest {
		result.Warning = fmt.Sprintf("The document in force is no longer the one that you edited: it is revision %d now. Publishing this one may lose to it, or undo it.", inForce.Version.Revision)
	}
	result.Changes = listChanges(inForce.Document, d.document)
	result.Effects = describeEffects(inForce.Document, d.document)
}

// errNotValid is a document that does not pass the check.
var errNotValid = errors.New("a document that does not pass the check is not sealed")

// handleSeal checks the draft again and shows it with its seal.
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
