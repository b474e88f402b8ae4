package reserver

import "corianderroad/specifier"

// RoomOn returns the room that the reservation has on a minion.
func (reservation *Reservation) RoomOn(minion *Minion) specifier.Resources {
	var room specifier.Resources
	for _, place := range reservation.places {
		if place.minion == minion {
			room = room.Add(place.amount)
		}
	}
	return room
}
