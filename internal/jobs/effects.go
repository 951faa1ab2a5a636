package jobs

// EffectKind is what the caller must do.
type EffectKind uint8

// The kinds of effects. Those that answer a caller come only once the change that they answer is stored.
const (
	StoreJob            EffectKind = iota // write Job to the store, then call Stored with its Version, or StoreFailed
	AnswerPush                            // tell the producer that Job is accepted, or rejected with Err
	DeliverJob                            // send Job to its Worker under its Fence
	GrantStart                            // tell the worker that asked that it may start Job under its Fence
	AnswerReport                          // tell the worker that its Ack or Fail counts, or is rejected with Err
	AnnounceRunnable                      // Job may be leased with Assign; comes after all other effects of a call
	DeleteJob                             // delete Job from the store: its retention is over
	AnnounceLeaseExpiry                   // Job's lease under its Fence has expired
)

// Effect is one thing that the caller must do. Effects are carried out in the order in which they are returned.
type Effect struct {
	Kind EffectKind
	Job  Job   // a copy, as it was when the effect arose
	Err  error // for answers: why the request is rejected; nil: it is granted
}
