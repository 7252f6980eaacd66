//! Requests that wait for a group, in a fair order.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tanagerhub_catalogue::{Class, OrganisationId};
use tanagerhub_clock::Moment;

/// Virtual time, in work units of weight one, times [`VIRTUAL_TIME_PER_UNIT`].
type VirtualTime = u64;

/// Steps of virtual time per unit of work.
const VIRTUAL_TIME_PER_UNIT: f64 = 1_024.0;

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
/// use tanagerhub_traffic::{FairQueue, QueueKey};
///
/// let mut queue = FairQueue::default();
/// let shop = QueueKey::new(Class::Standard, OrganisationId::of("shop"), Moment::from_millis(9));
/// queue.push(shop, 1, 10.0, "later");
/// queue.push(QueueKey { deadline: Moment::from_millis(5), ..shop }, 1, 10.0, "sooner");
/// assert_eq!(queue.pop().unwrap().item, "sooner");
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: [ClassQueue<T>; 3],
    next: u64,
}

/// Where a request stands in line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueKey {
    /// Its class.
    pub class: Class,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// When its answer is due.
    pub deadline: Moment,
}

impl QueueKey {
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
    pub key: QueueKey,
    number: u64,
    turn: Turn,
}

/// One turn of an organisation.
#[derive(Debug, Clone, Copy)]
struct Turn {
    start: VirtualTime,
    number: u64,
    length: VirtualTime,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: [Class::Interactive, Class::Standard, Class::Batch].map(ClassQueue::new),
            next: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request with this much work, in any unit; returns its number.
    pub fn push(&mut self, key: QueueKey, weight: u32, work: f64, item: T) -> u64 {
        let number = self.next_number();
        self.class_queue(key.class)
            .push(key, number, virtual_length(work, weight), item);
        number
    }

    /// Gives a request the first turn of its class, because it has had its turn already.
    pub fn push_front(&mut self, key: QueueKey, item: T) -> u64 {
        let number = self.next_number();
        self.class_queue(key.class).push_front(key, number, item);
        number
    }

    /// Counts work that was started without waiting.
    pub fn charge(&mut self, key: QueueKey, weight: u32, work: f64) {
        self.class_queue(key.class)
            .charge(key.organisation, virtual_length(work, weight));
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.classes.iter_mut().find_map(ClassQueue::pop)
    }

    /// Puts back a request that was just taken, as if it had not been.
    pub fn put_back(&mut self, queued: Queued<T>) {
        self.class_queue(queued.key.class).put_back(queued);
    }

    /// Takes out a request by its number.
    pub fn remove(&mut self, key: QueueKey, number: u64) -> Option<T> {
        self.class_queue(key.class).remove(key, number)
    }

    /// Takes out the latest request of the organisation with the most waiting for its weight.
    ///
    /// Classes are searched from the least urgent up to `class`.
    pub fn evict(&mut self, class: Class, weight: impl Fn(OrganisationId) -> u32) -> Option<T> {
        self.classes[class_index(class)..]
            .iter_mut()
            .rev()
            .find_map(|class_queue| class_queue.evict(&weight))
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes
            .iter()
            .map(|class_queue| class_queue.turns.len())
            .sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes
            .iter()
            .all(|class_queue| class_queue.turns.is_empty())
    }

    /// Estimates how many requests go before a new one of this organisation.
    #[must_use]
    pub fn ahead(
        &self,
        class: Class,
        organisation: OrganisationId,
        weight: impl Fn(OrganisationId) -> u32,
    ) -> f64 {
        let index = class_index(class);
        let urgent: usize = self.classes[..index].iter().map(|it| it.turns.len()).sum();
        count(urgent) + self.classes[index].ahead(organisation, &weight)
    }

    fn class_queue(&mut self, class: Class) -> &mut ClassQueue<T> {
        &mut self.classes[class_index(class)]
    }

    const fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// The queue of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    class: Class,
    virtual_time: VirtualTime,
    /// Turns in the order of their start tags.
    turns: BTreeSet<(VirtualTime, u64, OrganisationId)>,
    organisations: HashMap<OrganisationId, OrganisationQueue<T>>,
}

/// The requests of one organisation, and its turns with the span of each.
#[derive(Debug)]
struct OrganisationQueue<T> {
    finish: VirtualTime,
    turns: BTreeMap<(VirtualTime, u64), VirtualTime>,
    items: BTreeMap<(Moment, u64), T>,
}

impl<T> Default for OrganisationQueue<T> {
    fn default() -> Self {
        Self {
            finish: 0,
            turns: BTreeMap::new(),
            items: BTreeMap::new(),
        }
    }
}

impl<T> ClassQueue<T> {
    fn new(class: Class) -> Self {
        Self {
            class,
            virtual_time: 0,
            turns: BTreeSet::new(),
            organisations: HashMap::new(),
        }
    }

    fn push(&mut self, key: QueueKey, number: u64, length: VirtualTime, item: T) {
        let organisation_queue = self.organisations.entry(key.organisation).or_default();
        let start = self.virtual_time.max(organisation_queue.finish);
        organisation_queue.finish = start.saturating_add(length);
        organisation_queue.turns.insert((start, number), length);
        organisation_queue
            .items
            .insert((key.deadline, number), item);
        self.turns.insert((start, number, key.organisation));
    }

    fn push_front(&mut self, key: QueueKey, number: u64, item: T) {
        let organisation_queue = self.organisations.entry(key.organisation).or_default();
        organisation_queue.turns.insert((0, number), 0);
        organisation_queue
            .items
            .insert((key.deadline, number), item);
        self.turns.insert((0, number, key.organisation));
    }

    fn charge(&mut self, organisation: OrganisationId, length: VirtualTime) {
        let organisation_queue = self.organisations.entry(organisation).or_default();
        let start = self.virtual_time.max(organisation_queue.finish);
        organisation_queue.finish = start.saturating_add(length);
        if self.turns.is_empty() {
            self.virtual_time = start;
        }
    }

    fn pop(&mut self) -> Option<Queued<T>> {
        let (start, turn, organisation) = self.turns.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let organisation_queue = self.organisations.get_mut(&organisation)?;
        let length = organisation_queue.turns.remove(&(start, turn))?;
        let ((deadline, number), item) = organisation_queue.items.pop_first()?;
        Some(Queued {
            item,
            key: QueueKey::new(self.class, organisation, deadline),
            number,
            turn: Turn {
                start,
                number: turn,
                length,
            },
        })
    }

    fn put_back(&mut self, queued: Queued<T>) {
        let Queued {
            item,
            key,
            number,
            turn,
        } = queued;
        let organisation_queue = self.organisations.entry(key.organisation).or_default();
        organisation_queue
            .turns
            .insert((turn.start, turn.number), turn.length);
        organisation_queue
            .items
            .insert((key.deadline, number), item);
        self.turns
            .insert((turn.start, turn.number, key.organisation));
    }

    fn remove(&mut self, key: QueueKey, number: u64) -> Option<T> {
        let organisation_queue = self.organisations.get_mut(&key.organisation)?;
        let item = organisation_queue.items.remove(&(key.deadline, number))?;
        self.drop_turn(key.organisation);
        Some(item)
    }

    fn evict(&mut self, weight: &impl Fn(OrganisationId) -> u32) -> Option<T> {
        let longest = |(id, organisation_queue): (&OrganisationId, &OrganisationQueue<T>)| {
            let share = count(organisation_queue.items.len()) / f64::from(weight(*id).max(1));
            (*id, share)
        };
        let (organisation, _) = self
            .organisations
            .iter()
            .filter(|(_, organisation_queue)| !organisation_queue.items.is_empty())
            .map(longest)
            .max_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        let organisation_queue = self.organisations.get_mut(&organisation)?;
        let (_, item) = organisation_queue.items.pop_last()?;
        self.drop_turn(organisation);
        Some(item)
    }

    /// Drops the last turn of an organisation that has one request less.
    fn drop_turn(&mut self, organisation: OrganisationId) {
        let Some(organisation_queue) = self.organisations.get_mut(&organisation) else {
            return;
        };
        if let Some(((start, turn), length)) = organisation_queue.turns.pop_last() {
            organisation_queue.finish = organisation_queue.finish.saturating_sub(length);
            self.turns.remove(&(start, turn, organisation));
        }
    }

    fn ahead(&self, organisation: OrganisationId, weight: &impl Fn(OrganisationId) -> u32) -> f64 {
        let waiting =
            |organisation_queue: &OrganisationQueue<T>| count(organisation_queue.items.len());
        let own = self.organisations.get(&organisation).map_or(0.0, waiting);
        let turns = (own + 1.0) / f64::from(weight(organisation).max(1));
        let others = self
            .organisations
            .iter()
            .filter(|(id, _)| **id != organisation);
        let before = others.map(|(id, organisation_queue)| {
            waiting(organisation_queue).min(turns * f64::from(weight(*id).max(1)))
        });
        own + before.sum::<f64>()
    }
}

const fn class_index(class: Class) -> usize {
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
fn virtual_length(work: f64, weight: u32) -> VirtualTime {
    (work * VIRTUAL_TIME_PER_UNIT / f64::from(weight.max(1))) as VirtualTime
}
