package admin

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/listener"
)

// maxBlockTime is the longest time for which a prefix may be blocked.
const maxBlockTime = 7 * 24 * time.Hour

// connectionsView is the answer to /control/connections.
type connectionsView struct {
	connlimit.View
	Descriptors map[string]descriptorUsage `json:"descriptors"` // by kind
	Total       int                        `json:"descriptors_total"`
}

// descriptorUsage is how many descriptors a kind uses, and how many are reserved for it.
type descriptorUsage struct {
	Floor int `json:"floor"`
	Used  int `json:"used"`
}

// gate returns the gate that admits connections. If there is none, it responds with an
// error and returns nil.
func (c *call) gate() *listener.Gate {
	if c.api.operations.Gate == nil {
		c.respond(statusConflict, "connections are not decided on: no operator's file says so\n", "")
	}
	return c.api.operations.Gate
}

// getConnections responds with the state of the connection limits and with the descriptors
// in use.
func (c *call) getConnections(string) {
	gate := c.gate()
	if gate == nil {
		return
	}
	usage := gate.Budget.Usage()
	view := connectionsView{
		View:        gate.Limiter.Snapshot(c.api.dispatcher.Loop.Now()),
		Descriptors: map[string]descriptorUsage{},
		Total:       usage.Total,
	}
	for kind := range connlimit.DescriptorKinds {
		view.Descriptors[kind.String()] = descriptorUsage{Floor: usage.Floors[kind], Used: usage.Used[kind]}
	}
	c.respondJSON(view)
}

// putBlock rejects new connections from an address prefix for a time, and closes the open
// ones on which no request is running.
func (c *call) putBlock(query string) {
	gate := c.gate()
	if gate == nil {
		return
	}
	values, prefix, ok := c.readPrefix(query)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(values.Get("for"))
	if err != nil || duration <= 0 || duration > maxBlockTime {
		c.respond(statusBadRequest, "for: not a time such as 15m, up to 168h\n", "")
		return
	}
	now := c.api.dispatcher.Loop.Now()
	if err := gate.Limiter.Block(now, prefix, now+duration); err != nil {
		c.respondError(statusConflict, err)
		return
	}
	closed := gate.EvictPrefix(prefix.Masked())
	c.api.dispatcher.Log(fmt.Sprintf("connections blocked for %v: %s, %d closed", duration, prefix.Masked(), closed))
	c.respond(statusOK, fmt.Sprintf("barred, %d sessions ended\n", closed), "")
}

// putUnblock admits connections from a blocked prefix again.
func (c *call) putUnblock(query string) {
	gate := c.gate()
	if gate == nil {
		return
	}
	_, prefix, ok := c.readPrefix(query)
	if !ok {
		return
	}
	if !gate.Limiter.Unblock(prefix) {
		c.respond(statusConflict, prefix.Masked().String()+" is not barred\n", "")
		return
	}
	c.api.dispatcher.Log("connections unblocked: " + prefix.Masked().String())
	c.respond(statusOK, "let in again\n", "")
}

// readPrefix parses a query and its parameter prefix, which is an address or an address
// prefix. If it is invalid, readPrefix responds with an error and returns false.
func (c *call) readPrefix(query string) (values url.Values, prefix netip.Prefix, ok bool) {
	values, err := url.ParseQuery(query)
	if err == nil {
		prefix, err = parsePrefix(values.Get("prefix"))
	}
	if err != nil {
		c.respond(statusBadRequest, "prefix: not an address or a prefix such as 10.1.2.0/24\n", "")
		return nil, prefix, false
	}
	return values, prefix, true
}

// parsePrefix parses an address prefix, or an address, for which it returns the prefix that
// contains only this address.
func parsePrefix(text string) (netip.Prefix, error) {
	if addr, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(addr, addr.BitLen()), nil
	}
	return netip.ParsePrefix(text)
}
