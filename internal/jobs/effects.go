package jobs

// EffectKind is what the caller must do.
type EffectKind uint8

// The kinds of effects. An answer that a request was granted comes only once the change that it made is stored.
const (
	StoreJob            EffectKind = iota // write Job to the store, then call Stored with its Version, or StoreFailed if that fails
	AnswerPush                            // tell the producer that Job is accepted, or rejected with Err
	DeliverJob                            // send Job to its Worker under its Fence
	GrantStart                            // tell the worker that asked that it may start Job under its Fence
	AnswerReport                          // tell the worker that its Ack or Fail is accepted, or rejected with Err
	AnnounceRunnable                      // Job may be leased with Assign; comes after all other effects of a call
	DeleteJob                             // delete Job from the store: its retention is over
	AnnounceLeaseExpiry                   // Job's lease under its Fence has expired
)

// Effect is one action that the caller must carry out. Effects are carried out in the order in which they are returned.
type Effect struct {
	Kind EffectKind
	Job  Job   // a copy, as it was when the effect was created
	Err  error // for answers: why the request is rejected, or nil if it is granted
}
