package simwire

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke/decision"
)

// tableCount is the number of endpoint tables that the protocol has.
const tableCount = 16

// endpointTable is a numbered list of endpoints, to which list updates refer.
type endpointTable struct {
	endpoints []decision.Endpoint
	isFilled  bool
}

// readTable decodes a table message, which fills a table.
func (d *Decoder) readTable(value *fastjson.Value) error {
	number, err := readTableNumber(value)
	if err != nil {
		return err
	}
	elements := value.GetArray("elements")
	// The slice is always a new one: instances may still read the one that it replaces.
	endpoints := make([]decision.Endpoint, 0, len(elements))
	for _, element := range elements {
		endpoint, err := d.readEndpoint(element)
		if err != nil {
			return fmt.Errorf("table %d: %w", number, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	d.tables[number] = endpointTable{endpoints: endpoints, isFilled: true}
	return nil
}

// readEndpoint decodes an entry of a table.
func (d *Decoder) readEndpoint(element *fastjson.Value) (decision.Endpoint, error) {
	state, err := parseWorkerState(element.GetStringBytes("readiness"))
	if err != nil {
		return decision.Endpoint{}, err
	}
	endpoint := decision.Endpoint{
		Name:      d.intern(element.GetStringBytes("worker")),
		Zone:      element.GetInt("failure_domain"),
		Kind:      element.GetInt("shape"),
		Cell:      element.GetInt("pod"),
		StartedAt: readSpan(element, "last_start_us"),
		Weight:    element.GetFloat64("capacity_hint"),
		State:     state,
	}
	if endpoint.Name == "" {
		return decision.Endpoint{}, errors.New("an entry without a worker")
	}
	return endpoint, nil
}

// readTableNumber returns the number of the table that a message fills or refers to.
func readTableNumber(value *fastjson.Value) (int, error) {
	number := value.GetInt("table")
	if number < 0 || number >= tableCount {
		return 0, fmt.Errorf("table number %d out of range", number)
	}
	return number, nil
}

// readListUpdate decodes a roster_change message, which refers to a table.
func (d *Decoder) readListUpdate(value *fastjson.Value, event *decision.Event) error {
	event.Kind = decision.ListUpdated
	switch how := value.GetStringBytes("how"); string(how) {
	case "Partial":
		event.ListKind = decision.ListDelta
	case "Complete":
		event.ListKind = decision.ListSnapshot
	case "Persisted":
		event.ListKind = decision.ListCached
	case "Error":
		event.ListKind = decision.ListFailed
		return nil
	default:
		return fmt.Errorf("unknown kind of list %q", how)
	}
	number, err := readTableNumber(value)
	if err != nil {
		return err
	}
	if !d.tables[number].isFilled {
		return fmt.Errorf("table %d was never sent", number)
	}
	event.Endpoints = d.tables[number].endpoints
	return nil
}

// parseWorkerState returns the worker state for the readiness of an entry.
func parseWorkerState(readiness []byte) (decision.WorkerState, error) {
	switch string(readiness) {
	case "Running":
		return decision.Running, nil
	case "Stopping":
		return decision.Draining, nil
	case "Deleted":
		return decision.Removed, nil
	}
	return 0, fmt.Errorf("unknown readiness %q", readiness)
}
