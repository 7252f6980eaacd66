//! Requests that wait for a group, in a fair order.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tanagerhub_catalogue::{Class, OrganisationId};
use tanagerhub_clock::Moment;

/// Virtual time, in work units of weight one, times [`SCALE`].
type Tag = u64;

/// Steps of virtual time per unit of work.
const SCALE: f64 = 1_024.0;

/// Start-time fair queues, one per class; a class waits until those above it are empty.
///
/// Among organisations, turns are shared by weight. Within an organisation's turns, the earliest
/// deadline goes first.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{Class, OrganisationId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::{FairQueue, Place};
///
/// let mut queue = FairQueue::default();
/// let shop = Place::new(Class::Standard, OrganisationId::of("shop"), Moment::from_millis(9));
/// queue.push(shop, 1, 10.0, "later");
/// queue.push(Place { deadline: Moment::from_millis(5), ..shop }, 1, 10.0, "sooner");
/// assert_eq!(queue.pop().unwrap().item, "sooner");
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: [Lane<T>; 3],
    next: u64,
}

/// Where a request stands in line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its class.
    pub class: Class,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// When its answer is due.
    pub deadline: Moment,
}

impl Place {
    /// Names a place.
    #[must_use]
    pub const fn new(class: Class, organisation: OrganisationId, deadline: Moment) -> Self {
        Self {
            class,
            organisation,
            deadline,
        }
    }
}

/// A request taken from the queue.
#[derive(Debug, Clone, Copy)]
pub struct Queued<T> {
    /// The request.
    pub item: T,
    /// Where it stood.
    pub place: Place,
    number: u64,
    turn: Turn,
}

/// One turn of an organisation.
#[derive(Debug, Clone, Copy)]
struct Turn {
    start: Tag,
    number: u64,
    span: Tag,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            lanes: [Class::Interactive, Class::Standard, Class::Batch].map(Lane::new),
            next: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request with this much work, in any unit; returns its number.
    pub fn push(&mut self, place: Place, weight: u32, work: f64, item: T) -> u64 {
        let number = self.number();
        self.lane(place.class)
            .push(place, number, span(work, weight), item);
        number
    }

    /// Gives a request the first turn of its class, because it has had its turn already.
    pub fn push_front(&mut self, place: Place, item: T) -> u64 {
        let number = self.number();
        self.lane(place.class).push_front(place, number, item);
        number
    }

    /// Counts work that was started without waiting.
    pub fn charge(&mut self, place: Place, weight: u32, work: f64) {
        self.lane(place.class)
            .charge(place.organisation, span(work, weight));
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.lanes.iter_mut().find_map(Lane::pop)
    }

    /// Puts back a request that was just taken, as if it had not been.
    pub fn put_back(&mut self, queued: Queued<T>) {
        self.lane(queued.place.class).put_back(queued);
    }

    /// Takes out a request by its number.
    pub fn remove(&mut self, place: Place, number: u64) -> Option<T> {
        self.lane(place.class).remove(place, number)
    }

    /// Takes out the latest request of the organisation with the most waiting for its weight.
    ///
    /// Classes are searched from the least urgent up to `class`.
    pub fn evict(&mut self, class: Class, weight: impl Fn(OrganisationId) -> u32) -> Option<T> {
        self.lanes[lane_index(class)..]
            .iter_mut()
            .rev()
            .find_map(|lane| lane.evict(&weight))
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.turns.len()).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.turns.is_empty())
    }

    /// Estimates how many requests go before a new one of this organisation.
    #[must_use]
    pub fn ahead(
        &self,
        class: Class,
        organisation: OrganisationId,
        weight: impl Fn(OrganisationId) -> u32,
    ) -> f64 {
        let index = lane_index(class);
        let urgent: usize = self.lanes[..index].iter().map(|it| it.turns.len()).sum();
        count(urgent) + self.lanes[index].ahead(organisation, &weight)
    }

    fn lane(&mut self, class: Class) -> &mut Lane<T> {
        &mut self.lanes[lane_index(class)]
    }

    const fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// The queue of one class.
#[derive(Debug)]
struct Lane<T> {
    class: Class,
    virtual_time: Tag,
    /// Turns in the order of their start tags.
    turns: BTreeSet<(Tag, u64, OrganisationId)>,
    lines: HashMap<OrganisationId, Line<T>>,
}

/// The requests of one organisation, and its turns with the span of each.
#[derive(Debug)]
struct Line<T> {
    finish: Tag,
    turns: BTreeMap<(Tag, u64), Tag>,
    items: BTreeMap<(Moment, u64), T>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self {
            finish: 0,
            turns: BTreeMap::new(),
            items: BTreeMap::new(),
        }
    }
}

impl<T> Lane<T> {
    fn new(class: Class) -> Self {
        Self {
            class,
            virtual_time: 0,
            turns: BTreeSet::new(),
            lines: HashMap::new(),
        }
    }

    fn push(&mut self, place: Place, number: u64, span: Tag, item: T) {
        let line = self.lines.entry(place.organisation).or_default();
        let start = self.virtual_time.max(line.finish);
        line.finish = start.saturating_add(span);
        line.turns.insert((start, number), span);
        line.items.insert((place.deadline, number), item);
        self.turns.insert((start, number, place.organisation));
    }

    fn push_front(&mut self, place: Place, number: u64, item: T) {
        let line = self.lines.entry(place.organisation).or_default();
        line.turns.insert((0, number), 0);
        line.items.insert((place.deadline, number), item);
        self.turns.insert((0, number, place.organisation));
    }

    fn charge(&mut self, organisation: OrganisationId, span: Tag) {
        let line = self.lines.entry(organisation).or_default();
        let start = self.virtual_time.max(line.finish);
        line.finish = start.saturating_add(span);
        if self.turns.is_empty() {
            self.virtual_time = start;
        }
    }

    fn pop(&mut self) -> Option<Queued<T>> {
        let (start, turn, organisation) = self.turns.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let line = self.lines.get_mut(&organisation)?;
        let span = line.turns.remove(&(start, turn))?;
        let ((deadline, number), item) = line.items.pop_first()?;
        Some(Queued {
            item,
            place: Place::new(self.class, organisation, deadline),
            number,
            turn: Turn {
                start,
                number: turn,
                span,
            },
        })
    }

    fn put_back(&mut self, queued: Queued<T>) {
        let Queued {
            item,
            place,
            number,
            turn,
        } = queued;
        let line = self.lines.entry(place.organisation).or_default();
        line.turns.insert((turn.start, turn.number), turn.span);
        line.items.insert((place.deadline, number), item);
        self.turns
            .insert((turn.start, turn.number, place.organisation));
    }

    fn remove(&mut self, place: Place, number: u64) -> Option<T> {
        let line = self.lines.get_mut(&place.organisation)?;
        let item = line.items.remove(&(place.deadline, number))?;
        self.drop_turn(place.organisation);
        Some(item)
    }

    fn evict(&mut self, weight: &impl Fn(OrganisationId) -> u32) -> Option<T> {
        let longest = |(id, line): (&OrganisationId, &Line<T>)| {
            let share = count(line.items.len()) / f64::from(weight(*id).max(1));
            (*id, share)
        };
        let (organisation, _) = self
            .lines
            .iter()
            .filter(|(_, line)| !line.items.is_empty())
            .map(longest)
            .max_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        let line = self.lines.get_mut(&organisation)?;
        let (_, item) = line.items.pop_last()?;
        self.drop_turn(organisation);
        Some(item)
    }

    /// Drops the last turn of an organisation that has one request less.
    fn drop_turn(&mut self, organisation: OrganisationId) {
        let Some(line) = self.lines.get_mut(&organisation) else {
            return;
        };
        if let Some(((start, turn), span)) = line.turns.pop_last() {
            line.finish = line.finish.saturating_sub(span);
            self.turns.remove(&(start, turn, organisation));
        }
    }

    fn ahead(&self, organisation: OrganisationId, weight: &impl Fn(OrganisationId) -> u32) -> f64 {
        let waiting = |line: &Line<T>| count(line.items.len());
        let own = self.lines.get(&organisation).map_or(0.0, waiting);
        let turns = (own + 1.0) / f64::from(weight(organisation).max(1));
        let others = self.lines.iter().filter(|(id, _)| **id != organisation);
        let before =
            others.map(|(id, line)| waiting(line).min(turns * f64::from(weight(*id).max(1))));
        own + before.sum::<f64>()
    }
}

const fn lane_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Standard => 1,
        Class::Batch => 2,
    }
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).unwrap_or(u32::MAX))
}

/// The virtual time that this work takes at this weight.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float-to-integer cast saturates, and work is not negative"
)]
fn span(work: f64, weight: u32) -> Tag {
    (work * SCALE / f64::from(weight.max(1))) as Tag
}
