package relay

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// backfillSpan is the number of versions before its first snapshot whose changes a
// relay requests: as many as there are in an hour and a half.
const backfillSpan = 2000

// bootstrap fetches and applies the first snapshot, and the changes in the versions
// before it, so that subscribers at those versions need no snapshot. If the
// upstream does not have these changes, as one that always answers with its
// complete list, only the snapshot is applied.
func (f *follower) bootstrap(ctx context.Context, server string, current position) error {
	body, err := f.fetch(ctx, server, current, 0)
	if err != nil {
		return err
	}
	change, err := f.parseResponse(server, body)
	if err != nil {
		return err
	}
	backfill := membership.Change{}
	base := max(change.Version-backfillSpan, 1)
	if change.Snapshot && base < change.Version {
		backfill = f.fetchBackfill(ctx, server, current, base)
	}
	reply := make(chan applyReply, 1)
	if !f.state.send(bootstrapMessage{change, backfill, server, reply}) {
		return net.ErrClosed
	}
	return (<-reply).err
}

// fetchBackfill fetches what has changed since version base. Base is 0 in the
// result if the upstream does not have that.
func (f *follower) fetchBackfill(ctx context.Context, server string, current position, base membership.Version) membership.Change {
	body, err := f.fetch(ctx, server, current, base)
	if err != nil {
		return membership.Change{}
	}
	change, err := membership.Parse(body)
	if err != nil || change.Snapshot {
		return membership.Change{}
	}
	change.Base = base
	return change
}

// catchUp makes a single call for the changes after a version and applies the
// response. The call also acknowledges the versions of the subscribers below.
// catchUp returns whether the response was a snapshot.
func (f *follower) catchUp(ctx context.Context, server string, current position, after membership.Version) (isSnapshot bool, err error) {
	body, err := f.fetch(ctx, server, current, after)
	if err != nil {
		return false, err
	}
	return f.applyResponse(server, after, body)
}

// fetch makes a single call and returns the decompressed body of the response.
func (f *follower) fetch(ctx context.Context, server string, current position, after membership.Version) ([]byte, error) {
	query := url.Values{
		"name":  {f.name},
		"after": {formatVersion(after)},
		"acked": {formatVersion(min(current.ackedBelow, current.resumeVersion))},
		"fleet": {strconv.Itoa(current.subscribersBelow)},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := f.get(ctx, server, query, "gzip")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	watched := newWatchdog(response.Body, cancel)
	defer watched.stop()
	var reader io.Reader = watched
	if response.Header.Get("Content-Encoding") == "gzip" {
		reader, err = gzip.NewReader(watched)
		if err != nil {
			return nil, err
		}
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxObjectBytes+1))
	if err == nil && len(body) > maxObjectBytes {
		err = errTooLong
	}
	return body, err
}

// parseResponse parses the response to a single call. An invalid response is
// recorded as a rejection.
func (f *follower) parseResponse(server string, body []byte) (membership.Change, error) {
	change, err := membership.Parse(body)
	if err != nil {
		f.state.send(rejectedMessage{version: change.Version, isSnapshot: true, upstream: server, reason: err})
		return change, errSnapshotRejected
	}
	return change, nil
}

// applyResponse parses and applies the response to a single call.
func (f *follower) applyResponse(server string, after membership.Version, body []byte) (isSnapshot bool, err error) {
	change, err := f.parseResponse(server, body)
	if err != nil {
		return false, err
	}
	if change.Version < after {
		return false, errBehind
	}
	if !change.Snapshot {
		change.Base = after
	}
	_, err = f.apply(server, change)
	return change.Snapshot, err
}

// get sends a request to an upstream. A status other than 200 is an error.
func (f *follower) get(ctx context.Context, server string, query url.Values, encoding string) (*http.Response, error) {
	address := "http://" + server + "/v1/servers?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", encoding)
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return response, nil
}

// formatVersion formats a version as a query parameter.
func formatVersion(version membership.Version) string { return strconv.FormatInt(int64(version), 10) }
