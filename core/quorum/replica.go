package quorum

import (
	"math/rand/v2"

	"clementinelock/core"
	"clementinelock/core/codec"
)

// Intervals and sizes of the protocol.
const (
	HeartbeatInterval  = 100 * core.Millisecond
	MinElectionTimeout = 700 * core.Millisecond
	MaxElectionTimeout = 1100 * core.Millisecond
	minCampaignDelay   = 150 * core.Millisecond
	maxCampaignDelay   = 600 * core.Millisecond
	helloInterval      = 200 * core.Millisecond
	// removedHelloInterval is how often a replica announces itself again that may have been removed, after it has heard no
	// leader for longer than the maximum election timeout.
	removedHelloInterval = core.Second
	// stateLogInterval is the time between two log lines on a state that lasts.
	stateLogInterval = 3 * core.Second
	resendTimeout    = 150 * core.Millisecond
	maxAppendBytes   = 64 << 10
	chunkBytes       = 64 << 10
	snapshotRecords  = 1024
	keptRecords      = 256
	maxPromotionLag  = 16
)

// Timing holds the intervals that depend on the latency between replicas and on the cost of their messages.
type Timing struct {
	HeartbeatInterval  core.Millis
	MinElectionTimeout core.Millis
	MaxElectionTimeout core.Millis
}

// Role is a replica's role in its term.
type Role string

// The roles of a replica.
const (
	Follower     Role = "Follower"
	PreCandidate Role = "PreCandidate"
	Candidate    Role = "Candidate"
	Leader       Role = "Leader"
)

// StateMachine is the state that the replicated log drives.
type StateMachine interface {
	// Apply executes a committed command; it must depend on nothing but its arguments and the state.
	Apply(index uint64, command []byte)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the state; it returns an error if Snapshot did not make the bytes.
	Restore(data []byte) error
}

// progress is what a leader knows of one other replica.
type progress struct {
	match, next uint64
	// boot and nonce identify the follower's start that match belongs to; priorMatch is the highest match of its
	// earlier starts.
	boot, nonce, priorMatch uint64
	lastContact             core.Millis
	// answered is set once the replica has answered this leader; lastContact is the start of the leadership until then.
	answered     bool
	lastProgress core.Millis
	// storedAt is when the replica had stored all records, or stored some, last.
	storedAt      core.Millis
	round         uint64
	installOffset int
	installIndex  uint64
	installSent   core.Millis
}

// heldSend is a message that is sent once the write with the sequence number is on disk.
type heldSend struct {
	seq  uint64
	send core.Send
}

// pendingRead is a read that waits until a majority has answered the round and the index is applied.
type pendingRead struct {
	ticket, index, round uint64
}

// Replica is one member of the group; set the exported fields before Start.
type Replica struct {
	Self         string
	Rand         *rand.Rand
	StateMachine StateMachine
	// InitialVoters lists the first voters by name; all have incarnation 1.
	InitialVoters []string
	// OtherHosts lists further hosts that a started replica sends its Hello to, since the leader may not be one of
	// InitialVoters; it may be nil.
	OtherHosts func() []string
	// MaxVoters bounds the voters that are heard; hosts beyond it follow the group as learners. 0 means no bound.
	MaxVoters int
	// PlaceOf returns where a host stands, so that voters can be spread beyond MaxVoters; known is false if that is not known. It may
	// be nil.
	PlaceOf func(name string) (place Place, known bool)
	// Timing may be left zero; Start then sets it from the constants of this package.
	Timing Timing
	// OnRead is called when the read with the ticket is decided; confirmed is false if this replica has stopped
	// leading before that.
	OnRead func(now core.Millis, ticket uint64, confirmed bool, out *core.Effects)

	role         Role
	vote         core.Vote
	log          recordLog
	members      Members
	membersIndex uint64
	// size is the number of voters that the group is meant to have, as of the latest membership entry.
	size            int
	boots           map[string]bootRecord
	commit          uint64
	applied         uint64
	synced          uint64
	leader          string
	leaderContactAt core.Millis
	leaderTime      leaderTime
	// commitsKnownAt is when the leader last told this replica of all that was committed, if commitsKnown is set.
	commitsKnown   bool
	commitsKnownAt core.Millis
	// confirmations holds, by host, which voters held no change that this replica had not applied.
	confirmations map[string]confirmation
	lastChange    lastChange
	electionAt    core.Millis
	heartbeatAt   core.Millis
	granted       map[string]bool
	peers         map[string]*progress
	round         uint64
	reads         []pendingRead
	joined        bool
	joinVotes     map[string]bool
	helloAt       core.Millis
	// lostElectionLogAt and notJoinedLogAt are when a lost election, and a start that the others have not confirmed yet, are logged next.
	lostElectionLogAt core.Millis
	notJoinedLogAt    core.Millis
	// stopping holds the nonces of the starts that have announced a planned stop, by host.
	stopping map[string]uint64
	// toldLeader is the leader that the latest HelloResponse named.
	toldLeader     string
	minVoteTerm    uint64
	fenced         bool
	newIncarnation bool
	nonce          uint64
	startIndex     uint64
	startTerm      uint64
	joinAllowed    map[string]bool
	transfer       bool
	writeSeq       uint64
	syncedSeq      uint64
	syncedUpTo     map[uint64]uint64
	held           []heldSend
	incoming       installBuffer
	pendingJoins   map[string]pendingJoin
	// storedAt is when this leader's own disk had taken all writes, or took some, last.
	storedAt core.Millis
}

// Start restores the stored state; it returns an error if the snapshot can't be restored. The driver must carry out
// the effects before any other call.
func (r *Replica) Start(now core.Millis, stored core.Stored, out *core.Effects) error {
	if r.Timing == (Timing{}) {
		r.Timing = Timing{HeartbeatInterval, MinElectionTimeout, MaxElectionTimeout}
	}
	r.role = Follower
	r.vote = stored.Vote
	r.vote.Boot++
	r.nonce = r.Rand.Uint64()
	r.boots = map[string]bootRecord{}
	r.joinVotes = map[string]bool{}
	r.syncedUpTo = map[uint64]uint64{}
	r.pendingJoins = map[string]pendingJoin{}
	r.joinAllowed = map[string]bool{}
	r.stopping = map[string]uint64{}
	for _, name := range r.InitialVoters {
		r.members = append(r.members, Member{Name: name, Incarnation: 1, Voter: true})
	}
	if err := r.restore(stored.Snapshot); err != nil {
		return err
	}
	r.log = recordLog{snapshot: stored.Snapshot, records: stored.Records}
	r.synced = r.log.lastIndex()
	r.startIndex, r.startTerm = r.log.lastIndex(), r.log.lastTerm()
	r.scanMembers()
	r.write(core.Write{Vote: r.voteCopy()}, out)
	r.commitTo(now, stored.Vote.Commit, out)
	r.resetElectionTimer(now)
	r.leaderContactAt = now - r.Timing.MaxElectionTimeout
	r.notJoinedLogAt = now + r.Timing.MaxElectionTimeout
	_, isMember := r.members.findIncarnation(r.Self, r.vote.Incarnation)
	r.newIncarnation = !isMember
	r.checkJoined(now)
	return nil
}

func (r *Replica) restore(snapshot core.Snapshot) error {
	r.commit = snapshot.Index
	r.applied = snapshot.Index
	if snapshot.Index == 0 {
		return nil
	}
	state, err := codec.Decode[groupState](snapshot.Data)
	if err != nil {
		return err
	}
	r.members = state.Members
	r.boots = state.Boots
	if r.boots == nil {
		r.boots = map[string]bootRecord{}
	}
	return r.StateMachine.Restore(state.State)
}

// scanMembers sets the membership from the newest membership entry in the log, committed or not.
func (r *Replica) scanMembers() {
	members, size := r.snapshotMembers()
	r.setMembers(members, size, r.log.snapshot.Index)
	for _, record := range r.log.records {
		e := decodeEntry(record.Data)
		if e.Type == entryMembers {
			r.setMembers(e.Members, e.Size, record.Index)
		}
	}
}

// setMembers sets the membership of the entry or snapshot at the index.
func (r *Replica) setMembers(members Members, size int, index uint64) {
	if size == 0 {
		size = len(members.voters())
	}
	r.members, r.size, r.membersIndex = members, size, index
}

func (r *Replica) snapshotMembers() (members Members, size int) {
	if r.log.snapshot.Index == 0 {
		var initial Members
		for _, name := range r.InitialVoters {
			initial = append(initial, Member{Name: name, Incarnation: 1, Voter: true})
		}
		return initial, len(initial)
	}
	state, err := codec.Decode[groupState](r.log.snapshot.Data)
	core.Assert(err == nil, "own snapshot at %d can't be decoded: %v", r.log.snapshot.Index, err)
	return state.Members, state.Size
}

func (r *Replica) voteCopy() *core.Vote {
	v := r.vote
	return &v
}

// write passes a write to the driver and records up to which index the log is synced after it.
func (r *Replica) write(w core.Write, out *core.Effects) {
	r.writeSeq++
	w.Seq = r.writeSeq
	r.syncedUpTo[w.Seq] = r.log.lastIndex()
	out.Writes = append(out.Writes, w)
}

// Synced handles the driver's report that all writes up to the sequence number are on disk.
func (r *Replica) Synced(now core.Millis, seq uint64, out *core.Effects) {
	for r.syncedSeq < seq {
		r.syncedSeq++
		r.synced = min(r.syncedUpTo[r.syncedSeq], r.log.lastIndex())
		delete(r.syncedUpTo, r.syncedSeq)
	}
	kept := r.held[:0]
	for _, h := range r.held {
		if h.seq <= seq {
			out.Sends = append(out.Sends, h.send)
		} else {
			kept = append(kept, h)
		}
	}
	r.held = kept
	r.storedAt = now
	if r.role == Leader {
		r.advanceCommit(now, out)
	}
}

// sendSynced sends a message once every write so far is on disk.
func (r *Replica) sendSynced(to string, message core.Message, out *core.Effects) {
	if r.syncedSeq == r.writeSeq {
		out.Send(to, message)
		return
	}
	r.held = append(r.held, heldSend{r.writeSeq, core.Send{To: to, Message: message}})
}

func (r *Replica) header(to string) Header {
	target, _ := r.members.find(to)
	return Header{Term: r.vote.Term, Incarnation: r.vote.Incarnation, ToIncarnation: target.Incarnation}
}

// Tick carries out the work that is due at the time.
func (r *Replica) Tick(now core.Millis, out *core.Effects) {
	if r.fenced {
		return
	}
	if !r.joined {
		if !r.followsAsLearner(now) {
			r.sendHello(now, helloInterval, out)
			r.logNotJoined(now, out)
		}
		return
	}
	if r.role == Leader {
		r.tickLeader(now, out)
		return
	}
	if !r.isVoter() {
		r.joined = false
		return
	}
	if r.mayBeRemoved(now) {
		r.sendHello(now, removedHelloInterval, out)
	}
	if now >= r.electionAt {
		r.campaign(now, true, out)
	}
}

// followsAsLearner reports whether the replica is a learner that hears a leader. It has nothing to announce until it may vote.
func (r *Replica) followsAsLearner(now core.Millis) bool {
	me, ok := r.members.findIncarnation(r.Self, r.vote.Incarnation)
	return ok && !me.Voter && r.SinceLeaderContact(now) <= r.Timing.MaxElectionTimeout
}

// mayBeRemoved reports whether the replica has heard no leader for so long that it may have been removed from the group: it is
// not told, and no member answers its campaigns.
func (r *Replica) mayBeRemoved(now core.Millis) bool {
	return now-r.leaderContactAt > r.Timing.MaxElectionTimeout
}

func (r *Replica) resetElectionTimer(now core.Millis) {
	r.electionAt = now + r.Timing.MinElectionTimeout + core.Millis(r.Rand.Int64N(int64(r.Timing.MaxElectionTimeout-r.Timing.MinElectionTimeout)))
}
