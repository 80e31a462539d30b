package planner

import (
	"fmt"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// cordon returns the record of this zone's cordon, or nil.
func (p *Planner) cordon() *wire.CordonRecord {
	if p.Cordon == nil {
		return nil
	}
	return p.Cordon()
}

// CordonReason says why work waits for a cordoned zone.
func CordonReason(record *wire.CordonRecord) string {
	return fmt.Sprintf("zone %s has been cordoned by %s since %s", record.GetZone(), record.GetOperator(), record.GetAt().AsTime().Format(time.RFC3339))
}
