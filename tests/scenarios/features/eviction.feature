Feature: Evicted work resumes exactly once
  An eviction takes a checkpoint, writes it to the object store, confirms the stop, and
  journals one event. A crash between two of these steps leaves the task in one place,
  and keeps its progress.

  Scenario: A worker is removed and its task resumes elsewhere from its checkpoint
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the worker that runs task "t" is decommissioned
    Then task "t" ends as "finished"
    And task "t" resumed from its checkpoint
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The agent is killed after it requested the checkpoint
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 3.0 s is submitted
    And task "t" runs
    And the object store is frozen
    And the worker that runs task "t" is decommissioned
    And the leaving agent is killed
    And the object store is up
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The object store is down when a worker is removed
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the object store is down
    And the worker that runs task "t" is decommissioned
    And the object store is up
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The store's answers are lost while the task is requeued
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the table loses the answers of the next 3 commits on journals
    And the worker that runs task "t" is decommissioned
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: A task is evicted and cancelled at the same time
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 5.0 s is submitted
    And task "t" runs
    And the worker that runs task "t" is decommissioned
    And task "t" is cancelled
    Then every task ends as its worker's record says
    And no task ran in two places at once

  Scenario Outline: The agent is killed in the middle of a step, then started again
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the <place> <fault> "<call>"
    And the worker that runs task "t" is decommissioned
    And the <place> has received such a call
    And the waiting agent is killed
    And the <place> works again
    And the waiting agent is started again
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

    Examples:
      | place        | fault                | call           |
      | runtime      | holds                | checkpoint     |
      | object store | holds                | put            |
      | object store | holds the answers to | put            |
      | runtime      | holds                | stop           |
      | runtime      | holds the answers to | stop           |
      | table        | holds                | commit/journal |
      | table        | holds the answers to | commit/journal |
      | runtime      | holds                | start          |
      | runtime      | holds the answers to | start          |

  Scenario Outline: The owner is killed while it requeues the task
    Given 2 entries and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the table <fault> "commit/journal"
    And the worker that runs task "t" is decommissioned
    And the table has received such a call
    And the entry that owns task "t" is killed
    And the table <then> the held calls
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

    Examples:
      | fault                | then        |
      | holds                | drops       |
      | holds                | executes    |
      | holds the answers to | executes    |

  Scenario Outline: A step is refused, or its answer is lost
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the <place> <fault> "<call>"
    And the worker that runs task "t" is decommissioned
    And the <place> has received such a call
    And the <place> works again
    Then task "t" ends as "finished"
    And task "t" resumed from its checkpoint
    And task "t" was finished once
    And no task ran in two places at once

    Examples:
      | place        | fault                | call           |
      | runtime      | refuses              | checkpoint     |
      | runtime      | loses the answers to | checkpoint     |
      | object store | loses the answers to | put            |
      | runtime      | refuses              | stop           |
      | runtime      | loses the answers to | stop           |
      | table        | refuses              | commit/journal |
      | runtime      | refuses              | start          |
      | runtime      | loses the answers to | start          |
