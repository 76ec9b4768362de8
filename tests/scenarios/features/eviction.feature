Feature: Evicted work resumes exactly once
  Checkpoint, object store, confirmed stop, then one journaled event: a crash
  between two of the steps leaves the task in one place, and with its progress.

  Scenario: A worker leaves and its task goes on elsewhere from its checkpoint
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the worker that runs task "t" leaves for good
    Then task "t" ends as "finished"
    And task "t" resumed from its checkpoint
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The agent is killed after the checkpoint was asked for
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 3.0 s is submitted
    And task "t" runs
    And the object store is frozen
    And the worker that runs task "t" leaves for good
    And the leaving agent is killed
    And the object store is up
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The object store is down when a worker leaves
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the object store is down
    And the worker that runs task "t" leaves for good
    And the object store is up
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The store's answers are lost while the task is queued again
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the table loses the answers of the next 3 commits on journals
    And the worker that runs task "t" leaves for good
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: Evicted and cancelled at once
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 5.0 s is submitted
    And task "t" runs
    And the worker that runs task "t" leaves for good
    And task "t" is cancelled
    Then every task ends as its worker's record says
    And no task ran in two places at once
