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
	// maxForm bounds a posted form in bytes.
	maxForm = 16 << 20
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
	mux.HandleFunc("GET /{$}", c.begin)
	mux.HandleFunc("POST /edit", c.edit)
	mux.HandleFunc("POST /seal", c.seal)
	return http.NewCrossOriginProtection().Handler(secure(mux))
}

// secure sets what keeps pages from being framed or running scripts.
func secure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxForm)
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

// inForce reads the document in force from the platform.
func (c *Console) inForce(ctx context.Context) (*validator.Accepted, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, validator.MaxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("read document in force: %w", err)
	}
	accepted, err := validator.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("document in force: %w", err)
	}
	return accepted, nil
}

func (c *Console) show(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.Execute(w, p); err != nil {
		c.config.Log.Warn("console_page", zap.Error(err))
	}
}

// begin shows the document in force as a form.
func (c *Console) begin(w http.ResponseWriter, r *http.Request) {
	accepted, err := c.inForce(r.Context())
	if err != nil {
		c.show(w, http.StatusBadGateway, page{Errors: lines(err)})
		return
	}
	c.show(w, http.StatusOK, page{
		Revision: accepted.Version.Revision, Base: accepted.Version.Digest, Fields: fieldsOf(accepted.Document),
		Warning: c.notInForce(r.Context(), accepted.Version),
	})
}

// notInForce warns when an entry has another document in force than the one
// that the platform shows.
func (c *Console) notInForce(ctx context.Context, shown validator.Version) string {
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

func lines(err error) []string { return strings.Split(err.Error(), "\n") }

// draft is a document as it was posted.
type draft struct {
	document validator.Document
	text     []byte
	base     string
	// faults are why it does not pass, nil if it does.
	faults error
}

func (c *Console) readDraft(r *http.Request) (draft, error) {
	if err := r.ParseForm(); err != nil {
		return draft{}, fmt.Errorf("form: must be whole and at most %d bytes: %w", maxForm, err)
	}
	d := draft{base: r.PostForm.Get("Base")}
	var revision uint64
	if _, err := fmt.Sscan(r.PostForm.Get("Revision"), &revision); err != nil {
		return draft{}, decoder.FieldError{Field: "Revision", Value: r.PostForm.Get("Revision"), Requirement: "a whole number of at least 0"}
	}
	document, err := documentOf(r.PostForm)
	d.document, d.faults = document, err
	d.document.Revision, d.document.Base = revision+1, d.base
	return d, nil
}

// check writes the draft as a document and has the one validator judge it.
func (d *draft) check() {
	if d.faults != nil {
		return
	}
	text, err := yaml.Marshal(d.document)
	if err != nil {
		d.faults = fmt.Errorf("write document: %w", err)
		return
	}
	d.text = text
	_, d.faults = validator.Parse(text)
}

// edit adds, removes or checks, as the button pressed says.
func (c *Console) edit(w http.ResponseWriter, r *http.Request) {
	d, err := c.readDraft(r)
	if err != nil {
		c.show(w, http.StatusBadRequest, page{Errors: lines(err)})
		return
	}
	p := page{Revision: d.document.Revision - 1, Base: d.base}
	action := r.PostForm.Get("Action")
	if action == "check" {
		d.check()
	} else if d.faults == nil {
		d.faults = edit(&d.document, action)
	}
	p.Fields = fieldsOf(d.document)
	if d.faults != nil {
		p.Fields = restore(p.Fields, r.PostForm)
		p.Errors = lines(d.faults)
		c.show(w, http.StatusOK, p)
		return
	}
	if action != "check" {
		c.show(w, http.StatusOK, p)
		return
	}
	p.IsValid = true
	c.compare(r.Context(), d, &p)
	c.show(w, http.StatusOK, p)
}

// compare fills in what the draft changes in the document in force, and warns
// when that is no longer its base.
func (c *Console) compare(ctx context.Context, d draft, p *page) {
	now, err := c.inForce(ctx)
	if err != nil {
		p.Warning = "The document in force can't be read, so the difference is not known: " + err.Error()
		return
	}
	p.Warning = c.notInForce(ctx, now.Version)
	if now.Version.Digest != d.base {
		p.Warning = fmt.Sprintf("The document in force is no longer the one that you edited: it is revision %d now. Publishing this one may lose to it, or undo it.", now.Version.Revision)
	}
	p.Changes = difference(now.Document, d.document)
	p.Effects = effects(now.Document, d.document)
}

// errNotChecked is a document that does not pass the check.
var errNotChecked = errors.New("a document that does not pass the check is not sealed")

// seal checks the draft again and shows it with its seal.
func (c *Console) seal(w http.ResponseWriter, r *http.Request) {
	d, err := c.readDraft(r)
	if err != nil {
		c.show(w, http.StatusBadRequest, page{Errors: lines(err)})
		return
	}
	d.check()
	p := page{Revision: d.document.Revision - 1, Base: d.base, Fields: fieldsOf(d.document)}
	if d.faults != nil {
		p.Fields = restore(p.Fields, r.PostForm)
		p.Errors = append(lines(errNotChecked), lines(d.faults)...)
		c.show(w, http.StatusUnprocessableEntity, p)
		return
	}
	sealed := sealer.Seal(d.text, c.config.SealingKey)
	p.IsValid, p.SealedDocument = true, string(sealed)
	c.compare(r.Context(), d, &p)
	c.config.Log.Info("sealed", zap.Uint64("revision", d.document.Revision), zap.String("digest", validator.Digest(sealed)), zap.String("base", d.base))
	if r.PostForm.Get("Download") != "" {
		w.Header().Set("Content-Type", "application/yaml")
		w.Header().Set("Content-Disposition", fmt.Sprintf("attachment; filename=document-%d.yaml", d.document.Revision))
		_, _ = w.Write(sealed)
		return
	}
	c.show(w, http.StatusOK, p)
}
