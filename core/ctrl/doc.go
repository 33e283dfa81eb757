// Package ctrl is the control role of a host: it answers operators' questions,
// proposes their edits to the replicated log, makes the plans and founds the
// ledgers: it records the first replicas of each region's ledger.
//
// A question may come to any control host; one that does not lead forwards it to
// the leader. An edit is answered once it is committed and applied, and a read
// once a majority has confirmed the leader, so that no answer is older than what
// was acknowledged before the question.
package ctrl
