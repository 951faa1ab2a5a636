package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// maxObjectTime is how long one object of a watch may take to arrive. It protects against a server that sends an object
// without end.
const maxObjectTime = time.Minute

var (
	errUnendedObject = errors.New("an object of the watch does not end")

	// errBaseMismatch ends a watch whose server continues from a state that is not in force here. The next poll
	// names the version in force.
	errBaseMismatch = errors.New("a delta does not fit the version in force")
)

// subscription is the communication with one membership server. It uses two connections. On one it polls for changes
// newer than a version, first to catch up and later to acknowledge; the responses may be compressed. On the other it
// opens the watch once it has caught up, which streams the changes after that.
type subscription struct {
	follower *membershipFollower
	server   membership.Server

	poll    membershipPoll
	watch   membershipWatch
	version membership.Version // newest version that the server has sent

	exclusiveUntil         time.Duration // until then no attempt at another server is started in parallel to this one
	catchUpAfterPoll       bool          // the watch ended while a poll was in progress, and catchUp follows that poll
	failedAcknowledgements int           // in a row

	// ignoresVersion is set if the server answers polls with its complete list, whatever version they continue from.
	// Each acknowledgement would then cost a snapshot.
	ignoresVersion bool
}

// membershipPoll is the connection for polls, and the poll in progress.
type membershipPoll struct {
	conn       httpConn
	inProgress bool
	after      membership.Version // the version that the last poll continued from
	body       responseBody
}

// membershipWatch is the connection for watches, and the stream in progress.
type membershipWatch struct {
	conn            httpConn
	accepted        bool // the head of the response to the last watch has arrived
	splitter        objectSplitter
	objectStartedAt time.Duration      // when the object that is arriving began; 0 if none is
	versionAtEnd    membership.Version // the newest version when the server last ended the watch without an error
}

// start sets up the connections and sends the poll that catches up.
func (s *subscription) start() {
	registry := s.follower.registry
	s.poll.conn = httpConn{
		registry:     registry,
		address:      s.server.Address,
		headerFields: "Accept-Encoding: gzip\r\n",
		onConnected:  s.onConnected,
		onProgress:   s.onPollProgress,
		onBody:       s.onPollBody,
	}
	s.watch.conn = httpConn{
		registry:    registry,
		address:     s.server.Address,
		onConnected: s.onConnected,
		onProgress:  s.onWatchProgress,
		onBody:      s.onWatchBody,
		onDone:      s.onWatchEnded,
	}
	s.sendPoll(s.follower.inForce.resumeVersion(), s.onCaughtUp)
}

// close ends the subscription. The follower is not notified.
func (s *subscription) close() {
	s.poll.conn.close()
	s.watch.conn.close()
}

func (s *subscription) now() time.Duration { return s.follower.registry.dispatcher.Loop.Now() }

func (s *subscription) onConnected() { s.exclusiveUntil = s.now() + responseStagger }

// receiving reports whether the response to a poll is arriving.
func (s *subscription) receiving() bool { return s.poll.inProgress && s.poll.conn.response.headRead }

// requestTarget returns the request target of a poll or, if watchParameter is not empty, of a watch.
func (s *subscription) requestTarget(watchParameter string, after membership.Version) string {
	return "/v1/servers?" + watchParameter + "after=" + strconv.FormatInt(int64(after), 10) +
		"&name=" + url.QueryEscape(s.follower.config.Name)
}

// incompleteParameters returns the parameters that a poll adds if some changes up to version after are missing here. The
// poll then acknowledges only the version before the missing changes as in force.
func (s *subscription) incompleteParameters(after membership.Version) string {
	completeThrough := s.follower.inForce.completeThrough
	if completeThrough >= after {
		return ""
	}
	return "&acked=" + strconv.FormatInt(int64(completeThrough), 10) + "&fleet=1"
}

// sendPoll polls for changes newer than version after, which also acknowledges that version, and calls onChange with
// the response.
func (s *subscription) sendPoll(after membership.Version, onChange func(change membershipChange, err error)) {
	poll := &s.poll
	poll.inProgress = true
	poll.after = after
	poll.conn.onDone = func(err error) {
		poll.inProgress = false
		body := poll.body
		poll.body = responseBody{}
		var change membershipChange
		if err == nil {
			change, err = body.decode(poll.conn.gzipped)
			change.base = after
		}
		onChange(change, err)
	}
	poll.conn.get(s.requestTarget("", after) + s.incompleteParameters(after))
}

func (s *subscription) onPollProgress() {
	if len(s.poll.body.data) == 0 {
		s.exclusiveUntil = s.now() + receiveStagger
	}
}

func (s *subscription) onPollBody(piece []byte) error {
	return s.poll.body.append(piece, s.poll.conn.response.remaining)
}

// onCaughtUp applies the response to the poll that catches up, and opens a watch that continues from it.
func (s *subscription) onCaughtUp(change membershipChange, err error) {
	follower := s.follower
	inForce := follower.inForce.version
	if err == nil && change.version < inForce {
		err = fmt.Errorf("the server is behind: it has version %d, and %d is in force here", change.version, inForce)
	}
	if err != nil {
		follower.subscriptionFailed(s, err)
		return
	}
	s.detectIgnoredVersion(change)
	s.version = change.version
	if follower.apply(change) == changeMismatched {
		follower.subscriptionFailed(s, errBaseMismatch)
		return
	}
	s.exclusiveUntil = s.now() + responseStagger
	s.watch.accepted = false
	s.watch.conn.get(s.requestTarget("watch=1&", change.version))
	if s == follower.active {
		follower.acknowledgement.recordSent(s.now(), s.poll.after)
		follower.scheduleAcknowledgement()
	}
}

// detectIgnoredVersion sets ignoresVersion if the response to a poll is a snapshot of the version that the poll
// continued from, although nothing has changed since.
func (s *subscription) detectIgnoredVersion(change membershipChange) {
	if s.poll.after > 0 && change.snapshot && change.version == s.poll.after {
		s.ignoresVersion = true
	}
}

// catchUp polls for the changes that did not come on the watch and then opens the watch again. If a poll is in progress,
// it does so after that poll.
func (s *subscription) catchUp() {
	s.catchUpAfterPoll = s.poll.inProgress
	if s.poll.inProgress {
		return
	}
	s.sendPoll(s.follower.inForce.resumeVersion(), s.onCaughtUp)
}

// onWatchProgress makes this server the one in use when the response to its watch begins, if no server is in use.
func (s *subscription) onWatchProgress() {
	follower := s.follower
	if !s.watch.conn.response.headRead {
		return
	}
	if follower.active == nil {
		follower.activate(s)
	}
	if !s.watch.accepted {
		s.watch.accepted = true
		s.confirmList()
	}
}

// confirmList records that the server vouches for the state in force, if it is the server in use. It does so by accepting
// a watch and by each line of it: a server without a source of its own accepts no watch, but it answers polls.
func (s *subscription) confirmList() {
	if s == s.follower.active {
		s.follower.registry.sourceConfirmed()
	}
}

// classifyFailure decides whether a failure of the subscription counts as one that did not reach the server, or as one
// that reached it and broke off. It must be called before close.
func (s *subscription) classifyFailure(cause error) freshness.Failure {
	var status statusError
	switch {
	case errors.As(cause, &status), transport.IsLocalError(cause):
		return freshness.SourceUnreachable
	case cause == errWatchEnded && !s.watch.splitter.midObject(): // as in an orderly shutdown
		return freshness.SourceUnreachable
	case s.poll.conn.response.headRead, s.watch.conn.response.headRead:
		return freshness.IncompleteResponse
	}
	return freshness.SourceUnreachable
}

// onWatchEnded handles the end of the watch. A server ends the watch without an error if a change is better fetched by a
// poll, whose response is compressed. A server that does so again without having sent anything newer has failed.
func (s *subscription) onWatchEnded(err error) {
	if err == nil && s.version > s.watch.versionAtEnd {
		s.watch.versionAtEnd = s.version
		s.catchUp()
		return
	}
	if err == nil {
		err = errWatchEnded
	}
	s.follower.subscriptionFailed(s, err)
}

// onWatchBody reads a piece of the watch.
func (s *subscription) onWatchBody(data []byte) error {
	if s.watch.conn.gzipped {
		return errContentCoding
	}
	if err := s.watch.splitter.split(data, s.readLine); err != nil {
		return err
	}
	return s.checkObjectTime()
}

// checkObjectTime returns an error if an object has been arriving for more than maxObjectTime.
func (s *subscription) checkObjectTime() error {
	now := s.now()
	watch := &s.watch
	switch {
	case !watch.splitter.midObject():
		watch.objectStartedAt = 0
	case watch.objectStartedAt == 0:
		watch.objectStartedAt = now
	case now-watch.objectStartedAt > maxObjectTime:
		return errUnendedObject
	}
	return nil
}

// readLine handles one line of the watch: a change, or an empty line that only shows that the server is alive. A server
// that has caught up with the version in force replaces the one in use.
func (s *subscription) readLine(text []byte) error {
	s.watch.objectStartedAt = 0
	follower := s.follower
	if len(text) == 0 {
		follower.registry.publishInitial(nil) // the state in force is confirmed
	} else if err := s.readChange(text); err != nil {
		return err
	}
	if s != follower.active && s.version >= follower.inForce.version {
		follower.activate(s)
	}
	s.confirmList()
	return nil
}

// readChange applies a change of the watch.
func (s *subscription) readChange(text []byte) error {
	change, err := decodeChange(bytes.NewReader(text))
	if err != nil {
		return err
	}
	if change.version < s.version {
		return fmt.Errorf("version %d after version %d on one watch", change.version, s.version)
	}
	change.base = s.version
	s.version = change.version
	if s.follower.apply(change) == changeMismatched {
		return errBaseMismatch
	}
	return nil
}
