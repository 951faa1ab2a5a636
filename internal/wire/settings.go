package wire

import (
	"errors"
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke"
)

var repeats = map[string]hollyyoke.Repeat{
	"retryable": hollyyoke.Retryable, "dedup": hollyyoke.Dedup, "fragile": hollyyoke.Fragile,
}

var groups = map[string]hollyyoke.Group{
	"": hollyyoke.GroupAll, "all": hollyyoke.GroupAll,
	"zone": hollyyoke.GroupZone, "cell": hollyyoke.GroupCell,
}

// settings translates the settings of a boot message.
func settings(v *fastjson.Value) (s hollyyoke.Settings, err error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return s, errors.New("boot without params")
	}
	limits, rules, prices, domain := v.Get("limits"), v.Get("rules"), v.Get("prices"), v.Get("domain")
	s = hollyyoke.Settings{
		OverQuotaWorth: v.GetFloat64("over_share_worth"),
		WorthByWork:    string(v.GetStringBytes("worth_by")) == "work",
		Zone:           v.GetInt("my_zone"),
		Peers:          v.GetInt("peers_total"),
		Tick:           duration(v, "tick_us"),
		AskForList:     string(v.GetStringBytes("discovery")) == "ask",
		AskWithin:      duration(rules, "ask_within_us"),
		ColdFrom:       rules.GetFloat64("cold_from"),
		WarmAfter:      duration(rules, "warm_after_us"),
		FallMultiple:   rules.GetFloat64("fall_multiple"),
		FallWindow:     duration(rules, "fall_us"),
		MaxAttempts:    limits.GetInt("max_attempts"),
		SecondCopies:   limits.GetBool("second_copies"),
		Cancel:         limits.GetBool("cancel"),
		Probing:        limits.GetBool("probing"),
		ReportsByProbe: string(v.GetStringBytes("reporting", "via")) == "probe",
		MaxRetryAfter:  duration(limits, "max_retry_after_us"),
		ConnectTimeout: duration(limits, "connect_timeout_us"),
		ConnIdle:       duration(limits, "conn_idle_us"),
		TellsStart:     domain.GetBool("tells_start"),
		StartsInOrder:  string(domain.GetStringBytes("queue_order")) == "fifo",
		Progress:       duration(domain, "progress_us"),
		CrossZonePrice: prices.GetFloat64("cross_zone"),
		FetchPrice:     prices.GetFloat64("origin"),
		MarksRetry:     v.GetBool("client_habits", "marks_retry"),
		LiveWeights:    string(v.GetStringBytes("weights")) == "live",
		FullNoProof:    rules.GetBool("busy_is_no_proof"),
		KeyRest:        duration(rules, "key_rest_us"),
		ExtraWindow:    duration(rules, "look_back_us"),
		ExtraFloor:     rules.GetFloat64("extra_floor"),
		ExtraRatio:     rules.GetFloat64("extra_ratio"),
	}
	for _, t := range v.GetArray("projects") {
		s.TenantQuotas = append(s.TenantQuotas, t.GetFloat64("quota_per_s"))
	}
	kinds, stretches := domain.GetArray("class_kind"), domain.GetArray("class_stretch")
	for i, c := range v.GetArray("classes") {
		class := hollyyoke.Class{
			Worth: c.GetFloat64("worth"), LateWorth: c.GetFloat64("late_worth"),
			Aim: duration(c, "slo_us"), Deadline: duration(c, "deadline_us"),
			Stretch: c.GetFloat64("aim_stretch"), Window: duration(c, "window_us"),
			Kinds: numbers(c.Get("runs_on")), Zones: numbers(c.Get("confined_to")),
			InTurn: c.GetBool("one_at_a_time"), Stream: c.GetBool("stream"),
		}
		var ok bool
		if class.Repeat, ok = repeats[string(c.GetStringBytes("repeat"))]; !ok {
			return s, fmt.Errorf("classes[%d].repeat: unknown value %q", i, c.GetStringBytes("repeat"))
		}
		if class.Group, ok = groups[string(c.GetStringBytes("group"))]; !ok {
			return s, fmt.Errorf("classes[%d].group: unknown value %q", i, c.GetStringBytes("group"))
		}
		if i < len(kinds) && kinds[i].GetInt() >= 0 { // a second bound to kinds: both hold
			kind := kinds[i].GetInt()
			if class.Kinds == nil {
				class.Kinds = []int{kind}
			}
			class.Kinds = slices.DeleteFunc(class.Kinds, func(k int) bool { return k != kind })
		}
		if i < len(stretches) && !c.Exists("aim_stretch") {
			class.Stretch = stretches[i].GetFloat64()
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// numbers reads a list of numbers; nil if there is none.
func numbers(v *fastjson.Value) []int {
	if v == nil || v.Type() != fastjson.TypeArray {
		return nil
	}
	list := []int{}
	for _, n := range v.GetArray() {
		list = append(list, n.GetInt())
	}
	return list
}
