package dispatch

import "testing"

// FuzzRequests applies random steps to a Dispatcher and checks it against the model: each request gets one final
// response, no non-idempotent request that may have run is retried or rejected, and no request or attempt remains at
// the end.
func FuzzRequests(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 1, 2, 0, 9, 0})
	f.Add([]byte{1, 0, 1, 0, 0, 0, 2, 4, 2, 5, 0, 1, 3, 0, 9, 60, 9, 250})
	f.Add([]byte{0, 0, 1, 1, 2, 6, 2, 6, 2, 6, 9, 200, 5, 0, 5, 1, 9, 250})
	f.Add([]byte{0, 1, 0, 1, 0, 1, 6, 0, 6, 1, 0, 0, 7, 0, 9, 9, 2, 0, 2, 1, 4, 0, 9, 255})
	f.Fuzz(func(t *testing.T, steps []byte) {
		if len(steps) > 400 {
			return
		}
		m := newRequestModel(t, len(steps)%2 == 0)
		for i := 0; i+1 < len(steps); i += 2 {
			m.step(steps[i], int(steps[i+1]))
		}
		m.finish()
	})
}
