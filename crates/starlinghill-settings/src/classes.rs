//! Classes of requests as they change while a gateway runs. Each class keeps its index, as open requests
//! refer to it.

use crate::NamedSettings;
use starlinghill_decision::api::{Class, ClassId, Rules, SettingsError};
use std::collections::BTreeMap;

/// The most classes kept. Limits memory if a settings file is changed again and again; a restart begins anew.
const MAX_CLASSES: usize = 10_000;

/// Classes by name, and the content of each index, which never changes.
#[derive(Debug, Clone)]
pub struct Classes {
    classes: Vec<Class>,
    names: BTreeMap<String, ClassId>,
}

impl Classes {
    /// The classes of the settings at the start.
    pub fn new(settings: &NamedSettings) -> Classes {
        let names = settings.classes.iter().map(|(name, &at)| (name.clone(), ClassId(at))).collect();
        Classes { classes: settings.settings.classes.clone(), names }
    }

    /// Adopts the classes of new settings and returns the rules for the decision module. A class that equals
    /// an earlier one gets its index, any other a new index. On an error nothing changes.
    pub fn update(&mut self, new: &NamedSettings) -> Result<Rules, SettingsError> {
        new.settings.check()?;
        let mut classes = self.classes.clone();
        let mut names = BTreeMap::new();
        for (name, &at) in &new.classes {
            let class = &new.settings.classes[at];
            let index = classes.iter().position(|known| known == class).unwrap_or(classes.len());
            if index == classes.len() {
                classes.push(class.clone());
            }
            names.insert(name.clone(), ClassId(index));
        }
        if classes.len() > MAX_CLASSES {
            let text = format!("classes: expected at most {MAX_CLASSES} different ones between two starts");
            return Err(SettingsError(text));
        }
        (self.classes, self.names) = (classes.clone(), names);
        Ok(Rules { classes, max_attempts: new.settings.max_attempts, common: None })
    }

    /// The present classes by name.
    pub fn by_name(&self) -> impl Iterator<Item = (&str, ClassId, &Class)> {
        self.names.iter().map(|(name, &id)| (name.as_str(), id, &self.classes[id.0]))
    }
}
