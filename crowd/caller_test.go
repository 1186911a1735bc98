package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout = 5 * time.Second
	// patience is how long an ordinary caller repeats its request.
	patience   = 15 * time.Second
	retryDelay = 100 * time.Millisecond
)

// jobBody returns the body of a job of one task.
func jobBody(spec string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":50}]}`, spec)
}

// untilServed repeats a request as an ordinary caller does.
func untilServed(request func() error) error {
	end := time.Now().Add(patience)
	for {
		err := request()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(retryDelay)
	}
}

// do makes a request on a connection of its own. It returns an error unless the status is 200.
func do(r *http.Request) ([]byte, error) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}
	return body, err
}

func get(url string) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	_, err = do(r)
	return err
}

// newRequest returns a request for a job.
func (c *cell) newRequest(vm int, method, id string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequest(method, "http://"+c.address(vm, callersPort)+queuePath+id, body)
	if err != nil {
		return nil, err
	}
	r.Host = queueHost
	r.Header.Set("Api-Key", teamKey)
	return r, nil
}

func (c *cell) submit(vm int, id, body string) error {
	r, err := c.newRequest(vm, http.MethodPost, id, strings.NewReader(body))
	if err != nil {
		return err
	}
	_, err = do(r)
	return err
}

func (c *cell) expectCompleted(vm int, id string) error {
	r, err := c.newRequest(vm, http.MethodGet, id, nil)
	if err != nil {
		return err
	}
	body, err := do(r)
	if err != nil {
		return err
	}
	var status struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	if status.State != "completed" {
		return fmt.Errorf("job %s is %s", id, status.State)
	}
	return nil
}

// exchange sends a request in parts and expects it to be served.
func exchange(conn net.Conn, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		if len(parts) > 2 {
			time.Sleep(pieceGap)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}
	return err
}
