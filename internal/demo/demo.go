// SPDX-License-Identifier: Apache-2.0

// Package demo shows the whole path in one process: an intent, its plan,
// the chunks, the first answer, a version change under traffic, a box that
// dies in flight, a request that must not run twice. It prints what happens
// and ends with the checks of package invariant.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/lab"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/weights"
)

// ErrViolated says that an invariant did not hold.
const ErrViolated = errors.ConstError("invariant does not hold")

// Sizes of the demo.
const (
	engineCount  = 6
	gatewayCount = 2
	model        = "celeste-draft"
	workspace    = "liceo-salto"
	modelBytes   = 24 << 20
	chunkBytes   = 128 << 10
	originRate   = 12 << 20
	boxRate      = 6 << 20
	corruptEvery = 60
	callerCount  = 4
	stepTimeout  = 40 * time.Second
)

type demo struct {
	out        io.Writer
	lab        *lab.Lab
	started    time.Time
	violations []invariant.Violation
	figures    []string
	fences     map[string][]int64
}

// Run plays the demo and prints it to out; logs go to logTo if it is set.
func Run(ctx context.Context, out, logTo io.Writer) error {
	d := &demo{out: out, started: time.Now(), fences: make(map[string][]int64)}
	if err := d.start(logTo); err != nil {
		return err
	}
	defer d.lab.Close()
	steps := []func(context.Context) error{d.prepare, d.firstVersion, d.firstResponse, d.versionChange, d.boxCrash, d.sameKey, d.plainService}
	for _, step := range steps {
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step(ctx)
		cancel()
		if err != nil {
			return err
		}
	}
	return d.printSummary()
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) addFigure(format string, args ...any) {
	d.figures = append(d.figures, fmt.Sprintf(format, args...))
}

func (d *demo) start(logTo io.Writer) error {
	l, err := lab.Start(lab.Config{
		Gateways:     gatewayCount,
		Engines:      engineCount,
		Services:     2,
		ChecksFences: true,
		EngineMemory: 3 * modelBytes,
		TokenTime:    2 * time.Millisecond,
		Zones: []membership.AvailabilityZone{
			{Region: "montevideo", Zone: "montevideo-1"},
			{Region: "salto", Zone: "salto-1"},
			{Region: "maldonado", Zone: "maldonado-1"},
		},
		Links:     settings.Links{Origin: originRate, Box: boxRate},
		LogOutput: logTo,
	})
	if err != nil {
		return err
	}
	d.lab = l
	for _, version := range []string{"v1", "v2", "v3"} {
		l.Store.Publish(standin.NewManifest(modelRef(version), modelBytes, chunkBytes))
	}
	return nil
}

func modelRef(version string) weights.Ref { return weights.Ref{Model: model, Version: version} }

func (d *demo) prepare(ctx context.Context) error {
	d.printf("%d gateways, %d model engines and 2 plain services in 3 regions, each with its sidecar, on 127.0.0.1", gatewayCount, engineCount)
	if err := d.lab.AwaitBoxes(ctx, engineCount+2); err != nil {
		return err
	}
	if err := d.lab.AddWorkspace(ctx, workspace, 40, 2); err != nil {
		return err
	}
	d.printf("workspace %s added: priority 40, floor 2", workspace)
	return nil
}

// rollout takes a version from an intent to a confirmed plan.
func (d *demo) rollout(ctx context.Context, version string) (*intent.Plan, error) {
	api := d.lab.Admin(0)
	in := intent.Intent{Ref: modelRef(version), Workspaces: []string{workspace}, Weighing: intent.OriginBytes}
	d.printf("intent: %s shall serve %s", in.Ref, workspace)
	p, err := api.CreateIntent(ctx, in)
	if err != nil {
		return nil, err
	}
	for _, f := range p.Forecasts {
		d.printf("plan %.8s, %s: %v to %d replicas, %.2f copies from the origin", p.ID, f.Weighing, f.TimeToReplicas.Round(10*time.Millisecond), len(p.Steps), float64(f.OriginBytes)/float64(p.Bytes))
	}
	p, err = d.lab.Admin(1).Confirm(ctx, p.ID)
	if err != nil {
		return nil, err
	}
	d.printf("confirmed through the other gateway, fence %d", p.Fence)
	return p, nil
}

// watch prints a plan's progress until it is done.
func (d *demo) awaitPlan(ctx context.Context, p *intent.Plan, then func(*admin.Progress)) (*admin.Progress, error) {
	ask := func(ctx context.Context) (*admin.Progress, error) { return d.lab.Admin(0).Progress(ctx, p.ID) }
	return d.poll(ctx, ask, then)
}

// await asks until what is asked for is done. An answer that does not come is
// asked for again: beside other work a machine may keep a dial waiting for
// longer than its time-out.
func (d *demo) poll(ctx context.Context, ask func(context.Context) (*admin.Progress, error), then func(*admin.Progress)) (*admin.Progress, error) {
	const every = 250 * time.Millisecond
	last := ""
	for {
		now, err := ask(ctx)
		line := progressLine(now, err)
		if line != last {
			d.printf("%s", line)
			last = line
		}
		if err == nil && then != nil {
			then(now)
		}
		if err == nil && now.Done() {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "not done: %s", line)
		case <-time.After(every):
		}
	}
}

// progressLine is what is said of an answer, or of one that did not come.
func progressLine(now *admin.Progress, err error) string {
	if err != nil {
		return "progress not known: " + err.Error()
	}
	return fmt.Sprintf("progress: %d/%d serving, %.2f copies from the origin, %.2f from peers, %d bad chunks thrown away",
		now.Serving, len(now.Boxes), copies(now.OriginBytes), copies(now.PeerBytes), now.BadChunks)
}

func copies(n int64) float64 { return float64(n) / modelBytes }

// first brings the first version to all boxes.
func (d *demo) firstVersion(ctx context.Context) error {
	before := d.lab.Store.OriginBytes()
	p, err := d.rollout(ctx, "v1")
	if err != nil {
		return err
	}
	began := time.Now()
	done, err := d.awaitPlan(ctx, p, nil)
	if err != nil {
		return err
	}
	sent := d.lab.Store.OriginBytes() - before
	d.violations = append(d.violations, invariant.Origin(sent, modelBytes, 1.5)...)
	d.addFigure("first version: %d replicas in %.2f s; origin %.3f copies, across regions %.3f copies", done.Serving, time.Since(began).Seconds(), copies(sent), copies(done.CrossBytes))
	return nil
}

func (d *demo) callers() []string {
	var out []string
	for _, g := range d.lab.Gateways {
		out = append(out, g.CallerAddress())
	}
	return out
}

// answer waits for the first streamed answer.
func (d *demo) firstResponse(ctx context.Context) error {
	for {
		r, err := chat(ctx, d.callers()[0], lab.WorkspaceKey(workspace), model, "")
		if err != nil {
			return err
		}
		if r.outcome == outcome.Completed {
			d.printf("first streamed answer by %s, first token after %v: %.60s...", r.version, r.firstToken.Round(time.Millisecond), r.text)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// change rolls the second version out under traffic, with chunks spoiled on
// the way.
func (d *demo) versionChange(ctx context.Context) error {
	d.lab.Store.Faults.Set(standin.FaultSettings{CorruptEvery: corruptEvery})
	d.lab.Boxes[0].Engine.Faults.Set(standin.FaultSettings{CorruptEvery: corruptEvery})
	d.printf("from now on every %dth chunk of the origin and of box %s is spoiled", corruptEvery, d.lab.Boxes[0].Entry.ID)
	t := startTraffic(d.callers(), lab.WorkspaceKey(workspace), model, callerCount)
	p, err := d.rollout(ctx, "v2")
	if err != nil {
		return err
	}
	done, err := d.awaitPlan(ctx, p, nil)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	t.wait()
	d.printf("version change under traffic: %d requests, %d failed, by version %v", t.sent, len(t.failed), t.versions)
	d.addFigure("version change under traffic: %d requests, %d failed, %d bad chunks thrown away", t.sent, len(t.failed), done.BadChunks)
	d.checkTraffic(t)
	if t.versions[modelRef("v2").String()] == 0 {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.NoRevert, Detail: "no request was answered by v2"})
	}
	return nil
}

func (d *demo) checkTraffic(t *traffic) {
	d.violations = append(d.violations, t.violations...)
	for _, f := range t.failed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.WholeAnswer, Detail: f})
	}
}

// death rolls the third version out and kills a box while chunks move.
// Traffic goes on; a request that ran on the dead box may be sent again,
// since it is repeatable.
func (d *demo) boxCrash(ctx context.Context) error {
	d.lab.Store.Faults.Set(standin.FaultSettings{})
	d.lab.Boxes[0].Engine.Faults.Set(standin.FaultSettings{})
	p, err := d.rollout(ctx, "v3")
	if err != nil {
		return err
	}
	victim := d.lab.Boxes[engineCount-1]
	killed := false
	began := time.Now()
	done, err := d.awaitPlan(ctx, p, func(now *admin.Progress) {
		if !killed && now.PeerBytes > modelBytes {
			killed = true
			d.printf("box %s dies", victim.Entry.ID)
			d.lab.KillBox(victim, true)
		}
	})
	if err != nil {
		return err
	}
	d.printf("all %d living boxes serve %s", done.Serving, modelRef("v3"))
	d.addFigure("box killed in flight: %d living replicas in %.2f s", done.Serving, time.Since(began).Seconds())
	if !killed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.WholeVersion, Detail: "the box was not killed in flight, so nothing was shown"})
	}
	return nil
}

// once sends one request that is not repeatable through both gateways at
// the same moment, and again afterwards.
func (d *demo) sameKey(ctx context.Context) error {
	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	replies := make([]response, 2*gatewayCount)
	errs := make([]error, len(replies))
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i], errs[i] = chat(ctx, d.callers()[i%gatewayCount], lab.WorkspaceKey(workspace), model, key)
		}()
	}
	wg.Wait()
	if err := errors.Trace(firstError(errs)); err != nil {
		return err
	}
	var said []string
	for _, r := range replies {
		said = append(said, string(r.outcome))
	}
	slices.Sort(said)
	runs := 0
	for _, r := range d.journal() {
		if r.Key == key {
			runs++
		}
	}
	d.printf("one request that must not run twice, sent %d times at once through %d gateways: ran %d times, callers were told %v", len(replies), gatewayCount, runs, said)
	d.addFigure("not repeatable, sent %d times: ran %d times", len(replies), runs)
	if runs != 1 {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.AtMostOnce, Detail: fmt.Sprintf("ran %d times, want once", runs)})
	}
	return nil
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// service calls a plain service.
func (d *demo) plainService(ctx context.Context) error {
	r, err := callService(ctx, d.callers()[0], lab.WorkspaceKey(workspace), lab.ServiceName, `{"page":12}`)
	if err != nil {
		return err
	}
	d.printf("plain service %s answered %s: %s", lab.ServiceName, r.outcome, r.text)
	if r.outcome != outcome.Completed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.WholeAnswer, Detail: "service: " + r.text})
	}
	return nil
}

// journal joins the journals of all endpoints.
func (d *demo) journal() []standin.Run {
	var out []standin.Run
	for _, b := range d.lab.Boxes {
		if b.Engine != nil {
			out = append(out, b.Engine.Journal()...)
		} else {
			out = append(out, b.Service.Journal()...)
		}
	}
	return out
}

// end prints the figures and the verdict.
func (d *demo) printSummary() error {
	runs := d.journal()
	d.violations = append(d.violations, invariant.Journal(runs)...)
	fmt.Fprintln(d.out, "\nfigures of this run")
	for _, f := range d.figures {
		fmt.Fprintln(d.out, "  "+f)
	}
	appends, reads := d.lab.Log.Counts()
	fmt.Fprintf(d.out, "  endpoints ran %d requests; log: %d appends, %d reads\n", len(runs), appends, reads)
	if len(d.violations) == 0 {
		fmt.Fprintln(d.out, "all invariants hold")
		return nil
	}
	const most = 10
	for _, v := range d.violations[:min(len(d.violations), most)] {
		fmt.Fprintln(d.out, "VIOLATED "+v.String())
	}
	return errors.WithType(errors.Errorf("%d violations", len(d.violations)), ErrViolated)
}
