package decision

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestSettingsAreChecked(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes is empty":                 func(s *Settings) { s.Classes = nil },
		"Classes[0].Deadline":              func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Classes[1].PriorityWeight":        func(s *Settings) { s.Classes[1].PriorityWeight = math.NaN() },
		"Classes[1].ObjectiveStretch":      func(s *Settings) { s.Classes[1].ObjectiveStretch = -1 },
		"TenantQuotas[0]":                  func(s *Settings) { s.TenantQuotas = []float64{-1} },
		"OverQuotaWeight":                  func(s *Settings) { s.OverQuotaWeight = math.Inf(1) },
		"SlowStartFloor must be between 0": func(s *Settings) { s.SlowStartFloor = 2 },
		"Classes[0].Kinds":                 func(s *Settings) { s.Classes[0].Kinds = []int{} },
		"Classes[1].Zones":                 func(s *Settings) { s.Classes[1].Zones = []int{0, -1} },
		"Classes[1].Serialized": func(s *Settings) {
			s.Classes[1].Serialized = true
			s.Classes[1].Streaming = true
		},
		"KeyCooldown":       func(s *Settings) { s.KeyCooldown = -1 },
		"RetryBudgetFloor":  func(s *Settings) { s.RetryBudgetFloor = math.NaN() },
		"RetryBudgetRatio":  func(s *Settings) { s.RetryBudgetRatio = -1 },
		"RetryBudgetWindow": func(s *Settings) { s.RetryBudgetRatio = 0.2 },
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
	got := machine.Handle(1, Event{Kind: RequestArrived, Request: 1, TimeLeft: time.Second}, nil)
	if findAction(got, SetTimer) == nil {
		t.Fatalf("a request was not admitted with minimal settings: %v", got)
	}
}
