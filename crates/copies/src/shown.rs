//! Rows as operators read them.

use crate::keeper::Held;
use crate::ledger::{Lives, Me, Place, Row, read};
use crate::names::{Holder, Home, Key};
use crate::record::Tried;
use crate::witness::Seat;

fn holder(h: Holder) -> String {
    format!("sender {:016x}, life {:016x}", h.peer.0, h.reign.0)
}

fn home(h: Home) -> String {
    format!("{}, epoch {}", holder(h.holder), h.epoch)
}

fn message(key: Key) -> String {
    format!("{} at home with {}", key.id, home(key.home))
}

fn attempts(all: &[Tried]) -> String {
    let ran = all.iter().filter(|t| !t.never_ran).count();
    format!("{} attempts known, {ran} of which may have run", all.len())
}

/// What a row says: whose copy, in which term, and what is known of attempts. Senders are shown by the hash
/// of their names. Nothing where it cannot be read; without a value, what the row was about.
pub fn shown(key: &[u8], value: Option<&[u8]>) -> Option<String> {
    let row: Row = read(key)?;
    let Some(value) = value else {
        return Some(match row {
            Row::Me => "this sender's life".to_owned(),
            Row::Peer(peer) => format!("lives of sender {:016x}", peer.0),
            Row::Own(id) => format!("where {id}, owned here, is at home"),
            Row::Copy(key) => format!("copy of {}", message(key)),
            Row::Sure(key) => format!("promise of {}", message(key)),
            Row::Home(h) => format!("witness for {}", home(h)),
            Row::Seat(key) => format!("attempts and claims of {}", message(key)),
        });
    };
    Some(match row {
        Row::Me => {
            let me: Me = read(value)?;
            format!(
                "this sender is {}; {} witnesses know its epoch {}",
                holder(me.holder),
                me.known.len(),
                me.epoch
            )
        }
        Row::Peer(peer) => {
            let lives: Lives = read(value)?;
            let (now, over) = (lives.current.0, lives.retired.len());
            format!("sender {:016x} is in life {now:016x}; {over} before it are over", peer.0)
        }
        Row::Own(id) => {
            let place: Place = read(value)?;
            format!("{id}, owned here, is at home with {}, term {}", home(place.home), place.term)
        }
        Row::Copy(key) => {
            let held: Held = read(value)?;
            let (owner, tried) = (holder(held.owner), attempts(&held.record.tried));
            format!("copy of {}; owner {owner}, term {}; {tried}", message(key), held.term)
        }
        Row::Sure(key) => format!("{} is promised", message(key)),
        Row::Home(h) => {
            let closed: bool = read(value)?;
            format!("witness for {}{}", home(h), if closed { ", closed" } else { "" })
        }
        Row::Seat(key) => {
            let seat: Seat = read(value)?;
            let (owner, tried) = (holder(seat.holder), attempts(&seat.tried));
            let end = if seat.over { "; over" } else { "" };
            format!("{}: {owner} owns it in term {}; {tried}{end}", message(key), seat.term)
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::put;
    use crate::names::{Epoch, FIRST, Id, Peer, Reign};

    #[test]
    fn rows_say_whose_and_in_which_term_and_what_was_tried() {
        let by = Holder { peer: Peer::named("n1"), reign: Reign(7) };
        let key = Key { home: Home { holder: by, epoch: Epoch(2) }, id: Id(10) };
        let tried = vec![Tried { number: 0, endpoint: 1, at: 5, never_ran: false }];
        let seat = Seat { term: FIRST, holder: by, prior: vec![], round: 0, tried, moved: None, over: true };
        let row = put(Row::Seat(key), &seat);
        let said = shown(&row.key, row.value.as_deref()).expect("sound");
        for part in ["000000000000000a", "epoch 2", "term 1", "1 of which may have run", "over"] {
            assert!(said.contains(part), "{part}: {said}");
        }
        assert!(shown(&row.key, None).is_some_and(|s| s.starts_with("attempts and claims")));
        assert_eq!(shown(&[250], None), None);
        assert_eq!(shown(&row.key, Some(&[])), None);
    }
}
