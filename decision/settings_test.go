package decision

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestSettingsAreChecked(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes is empty":                 func(settings *Settings) { settings.Classes = nil },
		"Classes[0].Deadline":              func(settings *Settings) { settings.Classes[0].Deadline = 0 },
		"Classes[1].PriorityWeight":        func(settings *Settings) { settings.Classes[1].PriorityWeight = math.NaN() },
		"Classes[1].ObjectiveStretch":      func(settings *Settings) { settings.Classes[1].ObjectiveStretch = -1 },
		"TenantQuotas[0]":                  func(settings *Settings) { settings.TenantQuotas = []float64{-1} },
		"OverQuotaWeight":                  func(settings *Settings) { settings.OverQuotaWeight = math.Inf(1) },
		"SlowStartFloor must be between 0": func(settings *Settings) { settings.SlowStartFloor = 2 },
		"Classes[0].Kinds":                 func(settings *Settings) { settings.Classes[0].Kinds = []int{} },
		"Classes[1].Zones":                 func(settings *Settings) { settings.Classes[1].Zones = []int{0, -1} },
		"Classes[1].Serialized": func(settings *Settings) {
			settings.Classes[1].Serialized = true
			settings.Classes[1].Streaming = true
		},
		"KeyCooldown":       func(settings *Settings) { settings.KeyCooldown = -1 },
		"RetryBudgetFloor":  func(settings *Settings) { settings.RetryBudgetFloor = math.NaN() },
		"RetryBudgetRatio":  func(settings *Settings) { settings.RetryBudgetRatio = -1 },
		"RetryBudgetWindow": func(settings *Settings) { settings.RetryBudgetRatio = 0.2 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	machine, err := New(Settings{Classes: []Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := machine.Handle(1, Event{Kind: RequestArrived, Request: 1, TimeLeft: time.Second}, nil); findAction(
		got,
		SetTimer,
	) == nil {
		t.Fatalf("bare settings: %v", got)
	}
}
