package scenario

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

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

func httpPost(url, body string, headers []string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
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
