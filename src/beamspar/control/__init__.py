"""The actors of a controller: api, session, leader, owner, holder and fleet."""
