package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/roster"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	identityFile = "identity.json"
	logFolder    = "log"
	joinTimeout  = 800 * time.Millisecond
	joinRetry    = 100 * time.Millisecond
)

// identity is what makes a process a certain member. It is written before the
// member takes part.
type identity struct {
	ID consensus.MemberID `json:"id"`
	// Initial is the first membership, empty for a member that joined.
	Initial map[consensus.MemberID]string `json:"initial,omitempty"`
}

func loadIdentity(folder string) (*identity, error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the identity of the control member")
	}
	id := &identity{}
	if err := json.Unmarshal(data, id); err != nil {
		return nil, errors.Wrapf(err, "read %s", filepath.Join(folder, identityFile))
	}
	return id, nil
}

// save writes the identity so that it is there whole or not at all.
func (id *identity) save(folder string) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	temporary := filepath.Join(folder, identityFile+".new")
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(folder, identityFile)); err != nil {
		return errors.Wrap(err, "rename the identity")
	}
	return syncFolder(folder)
}

func writeSynced(path string, data []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the identity")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "write %s", path)
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(f.Sync(), "sync the data folder")
}

// discard removes what a member knew, so that it joins again under a new id.
// The identity goes first: a folder without it is never taken for a member's.
func discard(folder string) error {
	if err := os.Remove(filepath.Join(folder, identityFile)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove the identity")
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	return errors.Wrap(os.RemoveAll(filepath.Join(folder, logFolder)), "remove the log")
}

func newNonce() string {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		panic(errors.Wrap(err, "draw a nonce"))
	}
	return hex.EncodeToString(b[:])
}

// identify returns the identity of this member: the one on the disk, that of a
// first member, or one that the leader gives.
func (c *Control) identify(ctx context.Context) (*identity, error) {
	folder := c.options.DataFolder
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	id, err := loadIdentity(folder)
	if err != nil || id != nil {
		return id, err
	}
	// A log without identity is what an interrupted discard left.
	if err := discard(folder); err != nil {
		return nil, err
	}
	if c.options.Bootstrap {
		initial := roster.InitialMembers(c.options.Seeds())
		for member, address := range initial {
			if address == c.options.Address {
				id = &identity{ID: member, Initial: initial}
				return id, id.save(folder)
			}
		}
	}
	if id, err = c.join(ctx); err != nil {
		return nil, err
	}
	return id, id.save(folder)
}

// join asks the known members for an id until one is given.
func (c *Control) join(ctx context.Context) (*identity, error) {
	request := &JoinRequest{Address: c.options.Address, Nonce: newNonce()}
	target := ""
	waiting := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if target == "" {
			candidates := c.others()
			if len(candidates) > 0 {
				target = candidates[attempt%len(candidates)]
			}
		}
		if target != "" {
			var reply JoinReply
			callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
			err := c.options.Pool.Call(callCtx, target, ServiceName+".Join", request, &reply)
			cancel()
			if err == nil && reply.ID != 0 {
				c.options.Logger.Info("joined the control group", zap.Uint64("member", uint64(reply.ID)), zap.String("leader", target))
				return &identity{ID: reply.ID}, nil
			}
			if err != nil {
				c.options.Logger.Info("could not join the control group yet", zap.String("member", target), zap.Error(err))
			}
			if err == nil && reply.Leader == "" && !waiting {
				waiting = true
				c.options.Logger.Warn("can not join the control group: the member asked knows no leader", zap.String("member", target))
			}
			if target = reply.Leader; target != "" {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetry):
		}
	}
	return nil, ctx.Err()
}

// others returns the peer addresses of possible members but the own one.
func (c *Control) others() []string {
	var list []string
	for _, address := range append(append([]string(nil), c.options.Seeds()...), c.follower.View().Members...) {
		if address != c.options.Address {
			list = append(list, address)
		}
	}
	return list
}
