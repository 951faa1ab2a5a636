package dispatch_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// printingFrontEnd prints the response to each request.
type printingFrontEnd struct{}

func (printingFrontEnd) Respond(token uint64, response dispatch.Response) {
	fmt.Printf("request %d: %v, %s\n", token, response.Outcome, response.Body)
}

// echoClient is a worker client that completes each attempt at once, with the request's body as the result.
type echoClient struct{ dispatcher *dispatch.Dispatcher }

func (c echoClient) Start(attempt dispatch.Attempt) {
	fmt.Printf("attempt %d at %s\n", attempt.Number, attempt.Worker)
	c.dispatcher.AttemptSent(attempt.Handle)
	c.dispatcher.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, attempt.Request.Body)
}

func (echoClient) Cancel(uint64) (neverRan bool) { return false }
func (echoClient) CloseIdle(string)              {}
func (echoClient) CheckHealth(string)            {}
func (echoClient) Subscribe()                    {}

// A request goes from its front end to a worker, and the response goes back to the front end.
func Example() {
	now := time.Hour
	loop := eventloop.NewVirtual(func() time.Duration { return now })
	classes := []decision.Class{{Name: "status-check", PriorityWeight: 1, Deadline: time.Second}}
	dispatcher, err := dispatch.New(loop, decision.Settings{Classes: classes}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	client := echoClient{dispatcher}
	dispatcher.AddSource(client)
	dispatcher.UpdateWorkers(client, decision.ListSnapshot, []decision.Endpoint{{Name: "worker-1"}})

	dispatcher.Accept(printingFrontEnd{}, 1, dispatch.Request{ID: "one", Body: []byte("hello"), Work: 10 * time.Millisecond})
	fmt.Printf("%d served, %d unanswered\n", dispatcher.Counts().Served, dispatcher.Unanswered())
	// Output:
	// attempt 0 at worker-1
	// request 1: served, hello
	// 1 served, 0 unanswered
}
