//! A queue that is fair among organisations.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tanagerhub_catalogue::{Class, OrganisationId};
use tanagerhub_clock::Moment;

/// Virtual time, in units of work at weight one, times [`VIRTUAL_TIME_PER_UNIT`].
type VirtualTime = u64;

/// Steps of virtual time per unit of work.
const VIRTUAL_TIME_PER_UNIT: f64 = 1_024.0;

/// Start-time fair queues, one per class; a class is served only while all more urgent classes are
/// empty.
///
/// Organisations get turns in proportion to their weights. Each turn of an organisation takes its
/// request with the earliest deadline.
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

/// The attributes by which a request is ordered in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueKey {
    /// Class of the request; more urgent classes are served first.
    pub class: Class,
    /// Organisation whose turns the request uses.
    pub organisation: OrganisationId,
    /// Moment by which the response must be complete.
    pub deadline: Moment,
}

impl QueueKey {
    /// Creates a key.
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
    /// The queued item, as passed to [`FairQueue::push`].
    pub item: T,
    /// The key under which it was queued.
    pub key: QueueKey,
    number: u64,
    turn: Turn,
}

/// One turn of an organisation in virtual time.
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
    /// Adds a request and returns its number, which identifies it for [`remove`](Self::remove).
    ///
    /// `work` may have any unit that is the same for all requests.
    pub fn push(&mut self, key: QueueKey, weight: u32, work: f64, item: T) -> u64 {
        let number = self.next_number();
        self.class_queue(key.class)
            .push(key, number, virtual_length(work, weight), item);
        number
    }

    /// Adds a request with the first turn of its class, at no cost, because its earlier turn was
    /// charged already. Returns its number.
    pub fn push_front(&mut self, key: QueueKey, item: T) -> u64 {
        let number = self.next_number();
        self.class_queue(key.class).push_front(key, number, item);
        number
    }

    /// Charges the organisation for work that was started without queueing.
    pub fn charge(&mut self, key: QueueKey, weight: u32, work: f64) {
        self.class_queue(key.class)
            .charge(key.organisation, virtual_length(work, weight));
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.classes.iter_mut().find_map(ClassQueue::pop)
    }

    /// Restores a request that [`pop`](Self::pop) returned, with its old turn.
    pub fn put_back(&mut self, queued: Queued<T>) {
        self.class_queue(queued.key.class).put_back(queued);
    }

    /// Removes a request by its number; returns `None` if it is not queued.
    pub fn remove(&mut self, key: QueueKey, number: u64) -> Option<T> {
        self.class_queue(key.class).remove(key, number)
    }

    /// Removes the request with the latest deadline of the organisation that has the most waiting
    /// requests relative to its weight.
    ///
    /// Searches the classes from the least urgent up to `class`.
    pub fn evict(&mut self, class: Class, weight: impl Fn(OrganisationId) -> u32) -> Option<T> {
        self.classes[class_index(class)..]
            .iter_mut()
            .rev()
            .find_map(|class_queue| class_queue.evict(&weight))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes
            .iter()
            .map(|class_queue| class_queue.turns.len())
            .sum()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes
            .iter()
            .all(|class_queue| class_queue.turns.is_empty())
    }

    /// Estimates how many requests are served before a new one of this organisation.
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

/// The start-time fair queue of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    class: Class,
    virtual_time: VirtualTime,
    /// Turns ordered by start, number and organisation.
    turns: BTreeSet<(VirtualTime, u64, OrganisationId)>,
    organisations: HashMap<OrganisationId, OrganisationQueue<T>>,
}

/// The requests of one organisation in one class, and its turns with the length of each.
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
        self.remove_last_turn(key.organisation);
        Some(item)
    }

    fn evict(&mut self, weight: &impl Fn(OrganisationId) -> u32) -> Option<T> {
        let relative_length =
            |(id, organisation_queue): (&OrganisationId, &OrganisationQueue<T>)| {
                let share = count(organisation_queue.items.len()) / f64::from(weight(*id).max(1));
                (*id, share)
            };
        let (organisation, _) = self
            .organisations
            .iter()
            .filter(|(_, organisation_queue)| !organisation_queue.items.is_empty())
            .map(relative_length)
            .max_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        let organisation_queue = self.organisations.get_mut(&organisation)?;
        let (_, item) = organisation_queue.items.pop_last()?;
        self.remove_last_turn(organisation);
        Some(item)
    }

    /// Removes the last turn of an organisation after one of its requests was removed.
    fn remove_last_turn(&mut self, organisation: OrganisationId) {
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
        let served_before = others.map(|(id, organisation_queue)| {
            waiting(organisation_queue).min(turns * f64::from(weight(*id).max(1)))
        });
        own + served_before.sum::<f64>()
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

/// Returns the virtual time of this much work at this weight.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float-to-integer cast saturates, and work is not negative"
)]
fn virtual_length(work: f64, weight: u32) -> VirtualTime {
    (work * VIRTUAL_TIME_PER_UNIT / f64::from(weight.max(1))) as VirtualTime
}
