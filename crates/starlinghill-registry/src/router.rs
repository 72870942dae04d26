//! Calls from outside, as a tree of matchers: each part of a path is a word or anything, and leads on; at a place stand the
//! methods that it knows.

use hyper::Method;

/// What may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// A backend's beat.
    Beat,
    /// A backend leaves.
    Leave,
    /// The operator changes items.
    Change,
    /// The operator reads all items.
    Read,
}

/// A place in the tree.
#[derive(Debug, Default)]
pub struct RouteNode {
    words: Vec<(&'static str, RouteNode)>,
    any: Option<Box<RouteNode>>,
    methods: Vec<(Method, Endpoint)>,
}

/// What a path leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// A call, with what stood where anything may.
    Endpoint(Endpoint, Vec<&'a str>),
    /// Nothing knows that method there.
    Method,
    /// Nothing is there.
    Nothing,
}

impl RouteNode {
    fn at(&mut self, path: &'static str) -> &mut RouteNode {
        let mut place = self;
        for part in path.split('/').filter(|part| !part.is_empty()) {
            if part == "*" {
                place = place.any.get_or_insert_default();
                continue;
            }
            let known = place.words.iter().position(|(word, _)| *word == part);
            let i = known.unwrap_or_else(|| {
                place.words.push((part, RouteNode::default()));
                place.words.len() - 1
            });
            place = &mut place.words[i].1;
        }
        place
    }

    /// All calls.
    pub fn tree() -> RouteNode {
        let mut tree = RouteNode::default();
        tree.at("/api/backends/*").methods =
            vec![(Method::PUT, Endpoint::Beat), (Method::DELETE, Endpoint::Leave)];
        tree.at("/api/config").methods =
            vec![(Method::PATCH, Endpoint::Change), (Method::GET, Endpoint::Read)];
        tree
    }

    /// Where a path leads.
    pub fn find<'a>(&self, method: &Method, path: &'a str) -> RouteMatch<'a> {
        let (mut place, mut taken) = (self, Vec::new());
        for part in path.split('/').skip(1) {
            place = match place.words.iter().find(|(word, _)| *word == part) {
                Some((_, next)) => next,
                None => match &place.any {
                    Some(next) if !part.is_empty() => {
                        taken.push(part);
                        next
                    }
                    _ => return RouteMatch::Nothing,
                },
            };
        }
        match place.methods.iter().find(|(known, _)| known == method) {
            Some((_, call)) => RouteMatch::Endpoint(*call, taken),
            None if place.methods.is_empty() => RouteMatch::Nothing,
            None => RouteMatch::Method,
        }
    }
}
