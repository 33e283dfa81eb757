package trial

import "context"

func benchControl(context.Context, *bench) error  { return nil }
func benchSteering(context.Context, *bench) error { return nil }
func benchLookups(context.Context, *bench) error  { return nil }
func benchScale(context.Context, *bench) error    { return nil }
func benchLoopback(context.Context, *bench) error { return nil }
