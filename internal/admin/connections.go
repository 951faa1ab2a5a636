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

// gate returns the gate that admits connections; where there is none, it responds and
// returns nil.
func (c *call) gate() *listener.Gate {
	if c.api.operations.Gate == nil {
		c.respond(statusConflict, "connections are not decided on: no operator's file says so\n", "")
	}
	return c.api.operations.Gate
}

// getConnections responds with the connections that are open and those rejected.
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

// putBlock rejects the connections of a prefix for a time, and closes those on which
// nothing is owed.
func (c *call) putBlock(query string) {
	gate := c.gate()
	if gate == nil {
		return
	}
	values, prefix, ok := c.readPrefix(query)
	if !ok {
		return
	}
	span, err := time.ParseDuration(values.Get("for"))
	if err != nil || span <= 0 || span > maxBlockTime {
		c.respond(statusBadRequest, "for: not a time such as 15m, up to 168h\n", "")
		return
	}
	now := c.api.dispatcher.Loop.Now()
	if err := gate.Limiter.Block(now, prefix, now+span); err != nil {
		c.respondError(statusConflict, err)
		return
	}
	closed := gate.EvictPrefix(prefix.Masked())
	c.api.dispatcher.Log(fmt.Sprintf("connections blocked for %v: %s, %d closed", span, prefix.Masked(), closed))
	c.respond(statusOK, fmt.Sprintf("barred, %d sessions ended\n", closed), "")
}

// putUnblock admits the connections of a blocked prefix again.
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

// readPrefix reads a query and its parameter prefix, an address or a prefix. Where it
// is wrong, readPrefix responds and returns false.
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

// parsePrefix parses an address, which stands for the prefix of itself alone, or a
// prefix.
func parsePrefix(text string) (netip.Prefix, error) {
	if addr, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(addr, addr.BitLen()), nil
	}
	return netip.ParsePrefix(text)
}
