package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
)

// adminAPI is the address of the admin API of a running dispatcher. It implements jobsBackend.
type adminAPI string

var _ jobsBackend = adminAPI("")

// adminTimeout limits one call. It is long, since a snapshot of a large store takes long.
const adminTimeout = 60 * time.Second

// call makes a call to a path below /control/jobs, and decodes the JSON of the response into result unless that is nil.
func (a adminAPI) call(method, path string, query url.Values, result any) error {
	request, err := http.NewRequest(method, "http://"+string(a)+"/control/jobs"+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the admin API at %s: %s", string(a), strings.TrimSpace(string(text)))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(text, result)
}

func (a adminAPI) snapshot(name string) error {
	return a.call(http.MethodPut, "/snapshot", url.Values{"name": {name}}, nil)
}

func (a adminAPI) page(filter jobsFilter, after uint64) ([]durable.View, uint64, error) {
	query := url.Values{
		"state": {filter.state},
		"class": {filter.class},
		"after": {fmt.Sprint(after)},
		"full":  {fmt.Sprint(filter.withPayload)},
	}
	var page struct {
		Jobs []durable.View `json:"jobs"`
		Next uint64         `json:"next"`
	}
	err := a.call(http.MethodGet, "", query, &page)
	return page.Jobs, page.Next, err
}

func (a adminAPI) show(id string) (view durable.View, err error) {
	err = a.call(http.MethodGet, "/show", url.Values{"id": {id}}, &view)
	return view, err
}

func (a adminAPI) change(change jobChange) error {
	query := url.Values{
		"id":     {change.id},
		"reason": {string(change.reason)},
		"ran":    {fmt.Sprint(change.ran)},
	}
	return a.call(http.MethodPut, "/"+string(change.kind), query, nil)
}
