package scenario

import (
	"encoding/hex"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// httpGet returns the body of the response to a GET request. Any status but 200
// is an error.
func httpGet(url string) (string, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	return string(data), err
}

// httpPost sends a POST request with the key of the organisation and returns the
// status, as the line status=CODE, and the body of the response. Headers have the
// form NAME=VALUE.
func httpPost(url, body string, headers []string) (string, error) {
	return httpPostFrom(url, strings.NewReader(body), headers)
}

// httpPostFrom is like httpPost, but sends the body while reading it from a reader.
func httpPostFrom(url string, body io.Reader, headers []string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+organisationKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, "=")
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 30 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return fmt.Sprintf("status=%d\n%s", response.StatusCode, data), err
}

// consoleAddress is the host and port on which the console listens.
var consoleAddress = netip.AddrPortFrom(loopbackHost(os.Getpid(), 8, 1), 9999).String()

// cmdConsole starts a console in the background and waits up to 2 s until it
// answers: console.
func cmdConsole(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetFrom(ts)
	settings := fmt.Sprintf("Address: %s\nPlatform: %s\nSealSeed: %s\n", consoleAddress, f.processes["platform"].listenAddress, hex.EncodeToString(sealKey.Seed()))
	path := filepath.Join(f.dir, "console.yaml")
	ts.Check(os.WriteFile(path, []byte(settings), 0o600))
	cmdBackground(ts, false, []string{"console", "console", "--settings", path})
	for range 100 {
		if _, err := httpGet("http://" + consoleAddress + "/"); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("console does not answer within 2 s: %s", f.jobs["console"].output.String())
}

// formInput matches an input element of the console's form: its type, name,
// value and checked attribute. formText matches the document that the console shows.
var (
	formInput = regexp.MustCompile(`<input type="(hidden|text|checkbox)"[^>]*name="([^"]+)" value="([^"]*)"( checked)?`)
	formText  = regexp.MustCompile(`(?s)<textarea[^>]*>(.*)</textarea>`)
)

// parseForm returns the form of a page with the values that a browser would submit.
func parseForm(page string) url.Values {
	form := url.Values{}
	for _, m := range formInput.FindAllStringSubmatch(page, -1) {
		if m[1] != "checkbox" || m[4] != "" {
			form.Set(m[2], html.UnescapeString(m[3]))
		}
	}
	return form
}

// sealForm submits a form to the console and returns the sealed document.
func sealForm(form url.Values) (string, error) {
	response, err := http.PostForm("http://"+consoleAddress+"/seal", form)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	m := formText.FindStringSubmatch(string(page))
	if m == nil {
		return "", fmt.Errorf("console returned no sealed document: %s", page)
	}
	return html.UnescapeString(m[1]), nil
}
