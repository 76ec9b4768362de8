Feature: A worker is never given more work than its capacity

  Scenario: A burst of placements from several entries
    Given 3 entries and 2 workers of 4 cores with 1 slot
    When 30 tasks "b" of 0.3 s and 1500 millicores are submitted through all entries
    Then all tasks end as "finished"
    And no worker was given more than its capacity
    And no task ran in two places at once

  Scenario: The agent is replaced while its worker is full
    Given 2 entries and 1 worker of 4 cores with 1 slot
    When 8 tasks "b" of 1.0 s and 1500 millicores are submitted through all entries
    And the worker "w1" runs 2 tasks
    And the agent of "w1" is killed
    And the agent of "w1" is started
    Then all tasks end as "finished"
    And no worker was given more than its capacity
    And no task ran in two places at once

  Scenario: A task that fits no worker fails with a reason
    Given 1 entry and 1 worker of 4 cores with 1 slot
    When task "huge" of 0.3 s and 64000 millicores is submitted
    Then task "huge" ends as "failed"
    And task "huge" has a reason that names "fit"

  Scenario: A worker that fails everything does not fail the tasks
    Given 1 entry and 2 workers of 4 cores with 1 slot
    When the worker "w1" fails everything it starts
    And 12 tasks "b" of 0.2 s and 1000 millicores are submitted through all entries
    Then all tasks end as "finished"
    And no task ran in two places at once
