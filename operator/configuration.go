package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

type configurationFlags struct {
	expected     uint64
	changeID     string
	comment      string
	allowRemoval bool
}

// removalLimit is the share of sections that a change may remove without
// -allow-removals. A wrong folder usually lacks most of them.
const removalLimit = 0.5

var checkCommand = command{
	name: "check", arguments: "FOLDER", summary: "check a folder of declarations",
	examples: []string{"arbutusctl check config.d", "arbutusctl check -json config.d"},
	run: func(_ context.Context, c *call) error {
		sections, err := c.declared()
		if err != nil {
			return err
		}
		if c.asJSON {
			c.printJSON(struct {
				OK       bool `json:"ok"`
				Sections int  `json:"sections_count"`
			}{true, len(sections)})
			return nil
		}
		c.printf("%s is valid: %d sections\n", c.args[0], len(sections))
		return nil
	},
}

var diffCommand = command{
	name: "diff", arguments: "FOLDER", summary: "compare a folder of declarations with the configuration in force",
	examples: []string{"arbutusctl diff -control 127.0.0.1:7100,127.0.0.1:7200 config.d"},
	flags:    func(c *call) { c.controlFlags() },
	run: func(ctx context.Context, c *call) error {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		p, err := c.plan(ctx)
		if err != nil {
			return err
		}
		defer p.client.close()
		if c.asJSON {
			c.printJSON(struct {
				Revision message.Revision `json:"revision"`
				Changes  []Change         `json:"changes"`
			}{p.revision, append([]Change{}, p.changes...)})
			return nil
		}
		c.printf("revision %d, %d changes\n", p.revision, len(p.changes))
		c.printChanges(p.changes)
		return nil
	},
}

var applyCommand = command{
	name: "apply", arguments: "FOLDER", summary: "put a folder of declarations into force",
	examples: []string{
		"arbutusctl apply -control 127.0.0.1:7100 -credential-file operator.key -comment 'trial of adapter b' config.d",
		"arbutusctl apply -expected 41 config.d    # only if revision 41, which diff showed, is still in force",
		"arbutusctl apply -change-id 5d0f... config.d    # repeat a change whose outcome is unknown",
	},
	flags: func(c *call) {
		c.changeFlags()
		f := &c.configuration
		c.set.Uint64Var(&f.expected, "expected", 0, "`revision` that the change builds on; 0 means the one in force now")
		c.set.StringVar(&f.changeID, "change-id", "", "`id` of the change; the same id never takes effect twice (default random)")
		c.set.StringVar(&f.comment, "comment", "", "`text` shown to operators who lose a conflict with this change")
		c.set.BoolVar(&f.allowRemoval, "allow-removals", false, "allow a change that removes more than half of the sections")
	},
	run: apply,
}

// declared reads and checks the folder of the command.
func (c *call) declared() (contract.Sections, error) {
	if err := c.exactArgs(1); err != nil {
		return nil, err
	}
	if c.app.Declarations == nil {
		return nil, errors.New("this build can not read declarations")
	}
	sections, faults, err := c.app.Declarations.Read(c.args[0])
	if err != nil {
		return nil, err
	}
	if len(faults) == 0 {
		_, found := contract.Build(0, sections)
		for _, f := range found {
			faults = append(faults, Fault{File: c.args[0], Section: f.Section, Key: f.Key, Problem: f.Problem})
		}
	}
	if len(faults) > 0 {
		return nil, &exitError{ExitFailure, errors.Errorf("%s has %d faults", c.args[0], len(faults)), faults}
	}
	return sections, nil
}

// plan is a declared configuration against the one in force.
type plan struct {
	client   *controlClient
	sections contract.Sections
	current  contract.Sections
	revision message.Revision
	changes  []Change
}

func (c *call) plan(ctx context.Context) (*plan, error) {
	sections, err := c.declared()
	if err != nil {
		return nil, err
	}
	client, err := c.controlClient()
	if err != nil {
		return nil, err
	}
	p := &plan{client: client, sections: sections}
	if err := p.fetch(ctx, c.app); err != nil {
		client.close()
		return nil, err
	}
	return p, nil
}

func (p *plan) fetch(ctx context.Context, a *App) error {
	reply, err := atLeader[message.ConfigReply](ctx, p.client, "Config", &message.ConfigRequest{Header: header})
	if err != nil {
		return err
	}
	if !reply.Current {
		return fail(ExitNoQuorum, "%s can not confirm that revision %d is the newest", p.client.leader, reply.Revision)
	}
	if p.current, err = a.sectionsOf(reply); err != nil {
		return err
	}
	p.revision = reply.Revision
	p.changes = Diff(p.current, p.sections)
	return nil
}

func (p *plan) checkRemovals() error {
	removed := 0
	for _, change := range p.changes {
		if change.Removed {
			removed++
		}
	}
	if float64(removed) > removalLimit*float64(len(p.current)) {
		return fail(ExitFailure, "the change removes %d of %d sections; use -allow-removals if this is the right folder", removed, len(p.current))
	}
	return nil
}

func apply(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	credential, err := c.credential()
	if err != nil {
		return err
	}
	p, err := c.plan(ctx)
	if err != nil {
		return err
	}
	defer p.client.close()
	f := c.configuration
	// A repeated change is sent even if nothing differs any more, so that the
	// control group tells its original outcome.
	if len(p.changes) == 0 && f.changeID == "" {
		return c.printApplied(message.ApplyReply{Accepted: true, Revision: p.revision, Duplicate: true}, "", nil)
	}
	if !f.allowRemoval {
		if err := p.checkRemovals(); err != nil {
			return err
		}
	}
	request := &message.ApplyRequest{
		Header: header, ChangeID: f.changeID, Operator: c.operator, Expected: p.revision,
		Sections: p.sections, Comment: f.comment, Credential: credential,
	}
	if f.expected != 0 {
		request.Expected = message.Revision(f.expected)
	}
	if request.ChangeID == "" {
		request.ChangeID = newChangeID()
	}
	reply, err := atLeader[message.ApplyReply](ctx, p.client, "Apply", request)
	if err != nil && final(err) {
		return err
	}
	if err != nil {
		return errors.Wrapf(err, "the outcome is unknown; repeat with -change-id %s -expected %d", request.ChangeID, request.Expected)
	}
	return c.printApplied(reply, request.ChangeID, p.changes)
}

func newChangeID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (c *call) printApplied(reply message.ApplyReply, changeID string, changes []Change) error {
	if !reply.Accepted {
		if len(reply.Faults) > 0 {
			faults := make([]Fault, len(reply.Faults))
			for i, f := range reply.Faults {
				faults[i] = Fault{File: "control group", Problem: f}
			}
			return &exitError{ExitFailure, errors.New("the control group refused the declarations"), faults}
		}
		return fail(ExitConflict, "revision %d is in force, by change %s of %s (%s); look at diff and apply again",
			reply.Revision, reply.WinnerChangeID, reply.WinnerOperator, reply.WinnerComment)
	}
	if c.asJSON {
		c.printJSON(struct {
			Revision  message.Revision `json:"revision"`
			ChangeID  string           `json:"change_id"`
			Duplicate bool             `json:"duplicate"`
			Changes   []Change         `json:"changes"`
		}{reply.Revision, changeID, reply.Duplicate, append([]Change{}, changes...)})
		return nil
	}
	switch {
	case changeID == "":
		c.printf("nothing to change, revision %d is in force\n", reply.Revision)
	case reply.Duplicate:
		c.printf("change %s was accepted before, as revision %d\n", changeID, reply.Revision)
	default:
		c.printChanges(changes)
		c.printf("revision %d accepted, change %s\n", reply.Revision, changeID)
	}
	return nil
}
