package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// watchFence waits until the machine reports that this replica is fenced, because its data folder is older than what it
// has acknowledged; it then moves the folder's files aside and ends the process.
func (d *Daemon) watchFence(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.driver.mutex.Lock()
		fenced := d.driver.machine.Fenced()
		d.driver.mutex.Unlock()
		if !fenced {
			continue
		}
		err := d.driver.folder.Reset(strconv.FormatInt(time.Now().UnixMilli(), 10))
		d.failures <- errors.Join(fmt.Errorf("data folder %q is older than what this replica has acknowledged; its files were moved to a subfolder, restart the host", d.Settings.DataFolder), err)
		return
	}
}

// Stop starts a planned stop: callers are directed to other hosts, and requests in flight are completed within
// Settings.StopWithin. Wait returns when the stop is complete.
func (d *Daemon) Stop() {
	d.driver.step(d.driver.machine.Stop)
	go func() {
		end := time.Now().Add(d.Settings.StopWithin.Duration())
		for {
			done, open := d.driver.stopped()
			if done {
				d.log.Info("host", "Stopping: no requests are in flight.")
				break
			}
			if time.Now().After(end) {
				d.log.Error("host", fmt.Errorf("planned stop timed out after %s: %d requests aborted", d.Settings.StopWithin, open))
				break
			}
			time.Sleep(stopCheckInterval)
		}
		d.finish()
	}()
}

func (d *driver) stopped() (done bool, open int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.Stopped()
}

// finish shuts the servers down, so that they can write their last answers, and ends the host.
func (d *Daemon) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range d.servers {
		_ = server.Shutdown(ctx)
	}
	select {
	case <-d.stopped:
	default:
		close(d.stopped)
	}
}

// Kill ends the host at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
}

// Wait returns when the host has stopped.
func (d *Daemon) Wait() error {
	var err error
	select {
	case err = <-d.failures:
		d.log.Error("host", err)
	case <-d.stopped:
	case <-d.driver.context.Done():
	}
	d.cancel()
	d.close()
	d.wait.Wait()
	return err
}

func (d *Daemon) close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	if d.driver == nil {
		return
	}
	if d.network != nil {
		d.network.Close()
	}
	if d.driver.fetch != nil {
		d.driver.fetch.Close()
	}
	if d.driver.folder != nil {
		d.driver.mutex.Lock()
		d.driver.halted = true
		d.driver.mutex.Unlock()
		_ = d.driver.folder.Close()
	}
}
