// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNowIncludesSuspension(t *testing.T) {
	before, systemNow := Now(), time.Now()
	const suspended = 7 * time.Second
	SuspendForTest(t, suspended)
	assert.Assert(t, Since(before) >= suspended)
	assert.Assert(t, time.Since(systemNow) < suspended, "package time must not include the suspension")
	assert.Assert(t, Until(before) <= -suspended)
	in := time.Until(ToMonotonic(Now().Add(time.Minute)))
	assert.Assert(t, in > 59*time.Second && in <= time.Minute, "%s", in)
}

// Without a suspension, Now must agree with package time.
func TestNowWithoutSuspension(t *testing.T) {
	offset := time.Duration(tracker.total.Load())
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		before := time.Now()
		now := Now()
		after := time.Now()
		assert.Assert(t, !now.Before(before.Add(offset-time.Millisecond)) && !now.After(after.Add(offset+time.Millisecond)))
	}
}

// Differences below minSuspension must be ignored, and the total must never decrease.
func TestAdvanceIgnoresSmallDifferences(t *testing.T) {
	var s suspensionTracker
	s.advance(minSuspension - 1)
	assert.Equal(t, s.total.Load(), int64(0))
	s.advance(3 * time.Second)
	s.advance(3*time.Second + minSuspension/2)
	s.advance(time.Second)
	assert.Equal(t, time.Duration(s.total.Load()), 3*time.Second)
}

func TestTimersFireOnResume(t *testing.T) {
	ctx := t.Context()
	var resumed time.Duration
	done := make(chan struct{})
	go Watch(ctx, func(d time.Duration) {
		resumed = d
		close(done)
	})
	time.Sleep(2 * watchInterval) // until Watch has started
	deadline, cancel := WithDeadline(ctx, Now().Add(time.Minute))
	defer cancel()
	due, _ := After(Now().Add(time.Minute))
	later, stop := After(Now().Add(time.Hour))
	defer stop()
	stopped := AfterFunc(Now().Add(time.Minute), func() { t.Error("stopped timer fired") })
	stopped.Stop()
	SuspendForTest(t, 2*time.Minute)
	const soon = 5 * time.Second
	for _, c := range []<-chan struct{}{done, due, deadline.Done()} {
		select {
		case <-c:
		case <-time.After(soon):
			t.Fatal("expired timer did not fire after the resume")
		}
	}
	assert.Equal(t, resumed, 2*time.Minute)
	assert.ErrorIs(t, context.Cause(deadline), context.DeadlineExceeded)
	select {
	case <-later:
		t.Fatal("timer fired an hour early")
	default:
	}
}

func TestTimersFireWithoutSuspension(t *testing.T) {
	ctx, cancel := WithDeadline(context.Background(), Now().Add(20*time.Millisecond))
	defer cancel()
	<-ctx.Done()
	assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	ctx, cancel = WithDeadline(context.Background(), Now().Add(time.Minute))
	cancel()
	assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
	pendingTimers.Lock()
	defer pendingTimers.Unlock()
	for timer := range pendingTimers.all {
		assert.Assert(t, timer.at.After(Now().Add(time.Minute)), "a timer that fired or was stopped is still registered")
	}
}

// systemTime matches calls that use package time for a point in time.
var systemTime = regexp.MustCompile(`\btime\.(Now|Since|Until)\(|context\.WithDeadline\(`)

// Packages of the platform's daemons must not use package time for points in time. Its
// monotonic clock stops while the machine is suspended, so that after the resume, ages
// would be too low and deadlines would pass too late.
func TestPackagesUseClock(t *testing.T) {
	for _, pattern := range []string{"ingress/*.go", "fleet/*.go", "loadreport/*.go", "storerelay/*.go", "installer/*.go", "platform/*.go", "upstream/*.go", "quarantine/*.go", "retrybudget/*.go", "freshness/*.go", "routing/*.go", "cmd/mintlift/platform*.go"} {
		files, err := filepath.Glob(filepath.Join("..", "..", pattern))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, pattern)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			text, err := os.ReadFile(name)
			assert.NilError(t, err)
			for n, line := range strings.Split(string(text), "\n") {
				assert.Check(t, !systemTime.MatchString(line), "%s:%d: %s", name, n+1, strings.TrimSpace(line))
			}
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
