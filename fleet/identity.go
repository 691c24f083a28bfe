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
	identityFile      = "identity.json"
	logFolder         = "log"
	joinTimeout       = 800 * time.Millisecond
	joinRetryInterval = 100 * time.Millisecond
)

// identity identifies a member across restarts. It is written to disk before the
// member takes part in the group.
type identity struct {
	ID consensus.MemberID `json:"id"`
	// Initial is the membership of a bootstrapped group, empty for a member that
	// joined later.
	Initial map[consensus.MemberID]string `json:"initial,omitempty"`
}

// loadIdentity reads the identity from the data folder. It returns nil if there is none.
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

// save writes the identity atomically and durably.
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

// writeSynced writes a file and syncs it to disk.
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

// syncFolder syncs the entries of a folder to disk.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(f.Sync(), "sync the data folder")
}

// removeMemberData deletes a member's identity and log, so that it joins again under a
// new id. The identity is deleted first: if the removal is interrupted, the remaining
// log is not used, because a folder without an identity belongs to no member.
func removeMemberData(folder string) error {
	if err := os.Remove(filepath.Join(folder, identityFile)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove the identity")
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	return errors.Wrap(os.RemoveAll(filepath.Join(folder, logFolder)), "remove the log")
}

// newNonce returns a random string of 64 bits in hexadecimal form.
func newNonce() string {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		panic(errors.Wrap(err, "generate a nonce"))
	}
	return hex.EncodeToString(b[:])
}

// obtainIdentity returns the identity of this member: the one on disk, that of an
// initial member at bootstrap, or a new one assigned by the leader.
func (c *Control) obtainIdentity(ctx context.Context) (*identity, error) {
	folder := c.options.DataFolder
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	id, err := loadIdentity(folder)
	if err != nil || id != nil {
		return id, err
	}
	// A log without an identity remains after an interrupted removeMemberData.
	if err := removeMemberData(folder); err != nil {
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

// join asks the known members for an id until the leader assigns one or ctx ends.
func (c *Control) join(ctx context.Context) (*identity, error) {
	request := &JoinRequest{Address: c.options.Address, Nonce: newNonce()}
	target := ""
	warned := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if target == "" {
			candidates := c.otherMembers()
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
				c.options.Logger.Info("joined the control group",
					zap.Uint64("member", uint64(reply.ID)), zap.String("leader", target))
				return &identity{ID: reply.ID}, nil
			}
			if err != nil {
				c.options.Logger.Info("join request to the control group failed; retrying",
					zap.String("member", target), zap.Error(err))
			}
			if err == nil && reply.Leader == "" && !warned {
				warned = true
				c.options.Logger.Warn("can not join the control group: the member asked knows no leader",
					zap.String("member", target))
			}
			if target = reply.Leader; target != "" {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return nil, ctx.Err()
}

// otherMembers returns the peer addresses of the seeds and known members except this
// one.
func (c *Control) otherMembers() []string {
	var list []string
	for _, address := range append(append([]string(nil), c.options.Seeds()...), c.watcher.View().Members...) {
		if address != c.options.Address {
			list = append(list, address)
		}
	}
	return list
}
