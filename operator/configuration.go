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
	expectedRevision uint64
	changeID         string
	comment          string
	allowRemovals    bool
}

// maxRemovedShare is the share of the sections that a change may remove without
// -allow-removals. It catches an apply of the wrong folder, which usually lacks
// most sections.
const maxRemovedShare = 0.5

var checkCommand = command{
	name: "check", arguments: "FOLDER", summary: "check a folder of declarations",
	examples: []string{"arbutusctl check config.d", "arbutusctl check -json config.d"},
	run: func(_ context.Context, inv *invocation) error {
		sections, err := inv.readDeclarations()
		if err != nil {
			return err
		}
		if inv.asJSON {
			inv.printJSON(struct {
				OK       bool `json:"ok"`
				Sections int  `json:"sections_count"`
			}{true, len(sections)})
			return nil
		}
		inv.printf("%s is valid: %d sections\n", inv.args[0], len(sections))
		return nil
	},
}

var diffCommand = command{
	name: "diff", arguments: "FOLDER", summary: "compare a folder of declarations with the current configuration",
	examples: []string{"arbutusctl diff -control 127.0.0.1:7100,127.0.0.1:7200 config.d"},
	addFlags: func(inv *invocation) { inv.addControlFlags() },
	run: func(ctx context.Context, inv *invocation) error {
		ctx, cancel := context.WithTimeout(ctx, inv.timeout)
		defer cancel()
		p, err := inv.newPlan(ctx)
		if err != nil {
			return err
		}
		defer p.client.close()
		if inv.asJSON {
			inv.printJSON(struct {
				Revision message.Revision `json:"revision"`
				Changes  []Change         `json:"changes"`
			}{p.revision, append([]Change{}, p.changes...)})
			return nil
		}
		inv.printf("revision %d, %d changes\n", p.revision, len(p.changes))
		inv.printChanges(p.changes)
		return nil
	},
}

var applyCommand = command{
	name: "apply", arguments: "FOLDER", summary: "make a folder of declarations the current configuration",
	examples: []string{
		"arbutusctl apply -control 127.0.0.1:7100 -credential-file operator.key -comment 'trial of adapter b' config.d",
		"arbutusctl apply -expected 41 config.d    # only if revision 41, which diff showed, is still in force",
		"arbutusctl apply -change-id 5d0f... config.d    # repeat a change whose outcome is unknown",
	},
	addFlags: func(inv *invocation) {
		inv.addChangeFlags()
		f := &inv.configuration
		inv.flagSet.Uint64Var(&f.expectedRevision, "expected", 0,
			"`revision` that the change is based on; 0 means the current one")
		inv.flagSet.StringVar(&f.changeID, "change-id", "",
			"`id` of the change; a change is applied only once per id (default random)")
		inv.flagSet.StringVar(&f.comment, "comment", "", "`text` shown to operators whose change conflicts with this one")
		inv.flagSet.BoolVar(&f.allowRemovals, "allow-removals", false,
			"allow a change that removes more than half of the sections")
	},
	run: runApply,
}

// readDeclarations reads and validates the folder that the argument names.
func (inv *invocation) readDeclarations() (contract.Sections, error) {
	if err := inv.requireArgs(1); err != nil {
		return nil, err
	}
	if inv.app.Declarations == nil {
		return nil, errors.New("this build cannot read declarations")
	}
	sections, faults, err := inv.app.Declarations.Read(inv.args[0])
	if err != nil {
		return nil, err
	}
	if len(faults) == 0 {
		_, problems := contract.Build(0, sections)
		for _, f := range problems {
			faults = append(faults, Fault{File: inv.args[0], Section: f.Section, Key: f.Key, Problem: f.Problem})
		}
	}
	if len(faults) > 0 {
		return nil, &exitError{ExitFailure, errors.Errorf("%s has %d faults", inv.args[0], len(faults)), faults}
	}
	return sections, nil
}

// plan holds the declared and the current configuration and the changes between
// them.
type plan struct {
	client   *controlClient
	sections contract.Sections
	current  contract.Sections
	revision message.Revision
	changes  []Change
}

func (inv *invocation) newPlan(ctx context.Context) (*plan, error) {
	sections, err := inv.readDeclarations()
	if err != nil {
		return nil, err
	}
	client, err := inv.newControlClient()
	if err != nil {
		return nil, err
	}
	p := &plan{client: client, sections: sections}
	if err := p.fetchCurrent(ctx, inv.app); err != nil {
		client.close()
		return nil, err
	}
	return p, nil
}

func (p *plan) fetchCurrent(ctx context.Context, a *App) error {
	reply, err := callLeader[message.ConfigReply](ctx, p.client, "Config", &message.ConfigRequest{Header: requestHeader})
	if err != nil {
		return err
	}
	if !reply.Current {
		return exitErrorf(ExitNoQuorum, "%s cannot confirm with a quorum that revision %d is the newest",
			p.client.leader, reply.Revision)
	}
	if p.current, err = a.configOf(reply); err != nil {
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
	if float64(removed) > maxRemovedShare*float64(len(p.current)) {
		return exitErrorf(ExitFailure,
			"the change removes %d of %d sections; use -allow-removals if this is the right folder",
			removed, len(p.current))
	}
	return nil
}

func runApply(ctx context.Context, inv *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	credential, err := inv.readCredential()
	if err != nil {
		return err
	}
	p, err := inv.newPlan(ctx)
	if err != nil {
		return err
	}
	defer p.client.close()
	f := inv.configuration
	// A repeated change is sent even if nothing differs any more, because the
	// control group answers it with the original outcome.
	if len(p.changes) == 0 && f.changeID == "" {
		return inv.printApplyReply(message.ApplyReply{Accepted: true, Revision: p.revision, Duplicate: true}, "", nil)
	}
	if !f.allowRemovals {
		if err := p.checkRemovals(); err != nil {
			return err
		}
	}
	request := &message.ApplyRequest{
		Header: requestHeader, ChangeID: f.changeID, Operator: inv.operatorName, Expected: p.revision,
		Sections: p.sections, Comment: f.comment, Credential: credential,
	}
	if f.expectedRevision != 0 {
		request.Expected = message.Revision(f.expectedRevision)
	}
	if request.ChangeID == "" {
		request.ChangeID = newChangeID()
	}
	reply, err := callLeader[message.ApplyReply](ctx, p.client, "Apply", request)
	if err != nil && isPermanent(err) {
		return err
	}
	if err != nil {
		return errors.Wrapf(err, "the outcome is unknown; repeat with -change-id %s -expected %d",
			request.ChangeID, request.Expected)
	}
	return inv.printApplyReply(reply, request.ChangeID, p.changes)
}

func newChangeID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (inv *invocation) printApplyReply(reply message.ApplyReply, changeID string, changes []Change) error {
	if !reply.Accepted {
		if len(reply.Faults) > 0 {
			faults := make([]Fault, len(reply.Faults))
			for i, f := range reply.Faults {
				faults[i] = Fault{File: "control group", Problem: f}
			}
			return &exitError{ExitFailure, errors.New("the control group rejected the declarations"), faults}
		}
		return exitErrorf(ExitConflict, "revision %d is in force, by change %s of %s (%s); look at diff and apply again",
			reply.Revision, reply.WinnerChangeID, reply.WinnerOperator, reply.WinnerComment)
	}
	if inv.asJSON {
		inv.printJSON(struct {
			Revision  message.Revision `json:"revision"`
			ChangeID  string           `json:"change_id"`
			Duplicate bool             `json:"duplicate"`
			Changes   []Change         `json:"changes"`
		}{reply.Revision, changeID, reply.Duplicate, append([]Change{}, changes...)})
		return nil
	}
	switch {
	case changeID == "":
		inv.printf("nothing to change, revision %d is in force\n", reply.Revision)
	case reply.Duplicate:
		inv.printf("change %s was accepted before, as revision %d\n", changeID, reply.Revision)
	default:
		inv.printChanges(changes)
		inv.printf("revision %d accepted, change %s\n", reply.Revision, changeID)
	}
	return nil
}
