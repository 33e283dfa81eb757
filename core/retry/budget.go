package retry

import "cmp"

// defaultMaxTokens is how many unspent extra attempts a budget keeps by default.
const defaultMaxTokens = 10

// Budget is a token bucket of extra attempts to which each first attempt adds Ratio; Ratio is set before use.
type Budget struct {
	Ratio float64
	// MaxTokens is how many unspent extra attempts are kept; 0 means defaultMaxTokens.
	MaxTokens float64
	tokens    float64
	// initialized is set once SetInitial was called.
	initialized   bool
	extraAttempts uint64
	firstAttempts uint64
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.firstAttempts++
	b.tokens = min(cmp.Or(b.MaxTokens, defaultMaxTokens), b.tokens+b.Ratio)
}

// Spend takes one extra attempt out of the budget; it returns false when none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.extraAttempts++
	return true
}

// SetInitial sets the extra attempts that the budget starts with; later calls have no effect.
func (b *Budget) SetInitial(tokens float64) {
	if !b.initialized {
		b.initialized, b.tokens = true, tokens
	}
}

// Counts returns the numbers of first and of extra attempts.
func (b *Budget) Counts() (first, extra uint64) {
	return b.firstAttempts, b.extraAttempts
}
